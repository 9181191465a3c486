// Package statement defines the requests of callers, the steps sent to endpoints and their answers, independent of the
// protocol.
package statement
