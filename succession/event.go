package succession

import "siskincove/endpoint"

// Event is what a succession takes in.
type Event interface{ event() }

// Reply is what an endpoint said of itself, as the answer to an order or to a question.
type Reply struct {
	Endpoint string
	// Confirms tells that the endpoint was asked after all holds had been taken.
	Confirms bool
	Standing endpoint.Standing
}

// Ordered is what the platform made of the promotion.
type PromotionResult struct {
	Outcome Outcome
}

// Timeout ends a phase that lasted too long.
type Timeout struct{}

func (Reply) event()           {}
func (PromotionResult) event() {}
func (Timeout) event()         {}

// Outcome is what became of an order to the platform.
type Outcome uint8

const (
	// Accepted orders take effect.
	Accepted Outcome = iota
	// Refused orders never take effect.
	Refused
	// NotTaken orders had no effect and may be given again.
	Retryable
	// Unknown orders may take effect later.
	Unknown
)

// Order is what a succession wants done.
type Command uint8

const (
	// Hold stops a replica from receiving, under the plan's term.
	Hold Command = iota
	// Confirm asks a replica whether it is still held.
	Confirm
	// Demote makes the lost primary a replica.
	Demote
	// Promote tells the platform to make an endpoint primary, under the plan's fencing token.
	Promote
	// Resume releases a replica that is held under the plan's term.
	Resume
)

// Action is an order and the endpoint that it concerns.
type Action struct {
	Command  Command
	Endpoint string
}
