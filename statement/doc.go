// Package statement defines the requests of callers, the steps sent to endpoints and their answers, independent of the
// protocol. A step is one statement sent to an endpoint, a caller's or one of the proxy's own.
package statement
