// Package statement holds the typed requests of callers, the steps sent to endpoints and their answers, whatever the protocol.
package statement
