// Package directory keeps the operator's configuration and the registered endpoints in force, from the store or, while that does not answer, from peers.
package directory
