package failover

import (
	"siskincove/endpoint"
	"siskincove/pool"
)

// Event is an input of a ballot: a Reply or a Timeout.
type Event interface{ event() }

// Reply is an endpoint's status, from the answer to a command or to a status request sent after that answer was lost.
type Reply struct {
	Endpoint string
	Status   endpoint.Status
}

// Timeout reports that the current phase has timed out.
type Timeout struct{}

func (Reply) event()   {}
func (Timeout) event() {}

// Action is a command that the ballot asks its driver to send.
type Action struct {
	Command  pool.Command
	Endpoint string
	// Primary is the endpoint to follow; set for CommandFollow only.
	Primary string
}
