// Package loan lets instances use the connections that others hold, where an endpoint takes fewer than there are instances.
package loan
