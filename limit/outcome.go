package limit

import "time"

// Ticket identifies a request for a slot.
type Ticket uint64

// Decision is the decision on a request.
type Decision uint8

const (
	// Granted means that the request has a slot.
	Granted Decision = iota
	// Queued means that the request waits to be granted or refused.
	Queued
	// Refused means that the request gets no slot.
	Refused
)

// Outcome is a decision on one request. RetryAfter is the time after which a refused caller should retry.
type Outcome struct {
	Ticket     Ticket
	Decision   Decision
	RetryAfter time.Duration
}
