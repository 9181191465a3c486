// Package load generates load on a service from a seed, with the operations of its users at a given rate, and checks every
// answer against the acknowledged writes.
package load
