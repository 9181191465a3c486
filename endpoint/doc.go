// Package endpoint describes one member of a database group, and the interface through which a vendor's endpoints are
// queried and controlled.
package endpoint
