// Package experiment measures the whole system on loopback, with the sizes and network delays of its users' deployments and
// with stand-ins for databases, network and store.
package experiment
