// Package hosting is a test double of the hosting platform: its row and object store, database groups that speak its
// line protocol, and its promotion service, each with injectable faults.
package hosting
