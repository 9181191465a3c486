// Package cluster runs stand-ins and instances as processes on loopback for tests and experiments, publishes objects to
// them and injects faults.
package cluster
