// Package soak runs real instances against the stand-ins of the platform, injects series of faults that a seed determines and that
// overlap, and checks the history of what callers and endpoints saw.
package soak
