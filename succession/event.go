package succession

import "siskincove/endpoint"

// Event is an input of a Succession.
type Event interface{ event() }

// Reply is the status that an endpoint returned to a command or to a probe.
type Reply struct {
	Endpoint string
	// Confirms is set if the endpoint was probed after all holds had been taken.
	Confirms bool
	// Acknowledged is, if Confirms is set, the highest position that instances are known to have passed on as acknowledged.
	Acknowledged endpoint.Position
	Status       endpoint.PlatformStatus
}

// PromotionResult is the platform's answer to a promotion request.
type PromotionResult struct {
	Outcome Outcome
}

// Timeout ends a phase that exceeded its time limit.
type Timeout struct{}

func (Reply) event()           {}
func (PromotionResult) event() {}
func (Timeout) event()         {}

// Outcome tells what is known of the effect of a promotion request.
type Outcome uint8

const (
	// Accepted requests take effect.
	Accepted Outcome = iota
	// Refused requests never take effect.
	Refused
	// Retryable requests had no effect and may be sent again.
	Retryable
	// Unknown requests got no answer and may take effect later.
	Unknown
)

// Command is an operation that a Succession requests.
type Command uint8

const (
	// Hold stops a replica from receiving the primary's log, under the plan's term.
	Hold Command = iota
	// Confirm probes a replica to check that it is still held.
	Confirm
	// Demote makes the old primary a replica.
	Demote
	// Promote requests from the platform that an endpoint become primary, under the plan's fencing token.
	Promote
	// Resume releases the hold of a replica that is held under the plan's term.
	Resume
)

// Action is a command and the endpoint that it applies to.
type Action struct {
	Command  Command
	Endpoint string
}
