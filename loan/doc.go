// Package loan lets instances borrow connections from other instances when an endpoint allows fewer connections than
// there are instances.
package loan
