package failover

import (
	"siskincove/endpoint"
	"siskincove/pool"
)

// Event is what a ballot takes in: a Reply or a Timeout.
type Event interface{ event() }

// Reply is an endpoint's status after an order, or after a question that followed a lost answer.
type Reply struct {
	Endpoint string
	Status   endpoint.Status
}

// Timeout tells that the phase has lasted too long.
type Timeout struct{}

func (Reply) event()   {}
func (Timeout) event() {}

// Action is an order that the ballot wants to be given.
type Action struct {
	Order    pool.Command
	Endpoint string
	// Leader is the endpoint to follow, for CommandFollow.
	Leader string
}
