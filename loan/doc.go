// Package loan lets instances borrow connections from other instances, the holders, when an endpoint accepts too few
// connections for all instances.
package loan
