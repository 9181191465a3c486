// Package cluster starts the stand-ins and instances as processes on loopback, publishes objects to them and induces faults, for tests and experiments.
package cluster
