package limit

import "time"

// Ticket names a request that asked for a slot.
type Ticket uint64

// Decision is what becomes of an arriving request.
type Decision uint8

const (
	// Granted requests have a slot.
	Granted Decision = iota
	// Queued requests wait for a grant or a refusal.
	Queued
	// Refused requests get their final answer at once.
	Refused
)

// Outcome is a decision on one request; After is when a refused caller should come back.
type Outcome struct {
	Ticket   Ticket
	Decision Decision
	After    time.Duration
}
