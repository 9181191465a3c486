// Package directory tracks the operator's configuration and the registered endpoints. It reads them from the store, or takes
// them from peers while the store does not answer.
package directory
