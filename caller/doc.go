// Package caller accepts callers and carries their sessions, whatever the protocol: it reads requests, has them run and sends the answers.
package caller
