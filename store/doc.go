// Package store defines the interface to the platform's store: rows with conditional transactions, ranges and a resumable feed of changes, and objects.
package store
