package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/endpoint"
	"siskincove/peer/wire"
	"siskincove/session"
)

// reportToken tells the caller the token that covers a confirmed commit.
func (c *caller) reportToken(position endpoint.Position) {
	token := c.token.With(c.route.Database, position)
	text := token.Encode(c.name, c.entry.options.Keys[0])
	c.send(&pgproto3.ParameterStatus{Name: session.TokenParameter, Value: text})
}

// identify returns a number for a transaction, unique at its owner with all but certainty.
func (e *Server) identify() uint64 {
	return uint64(instanceBits(e.options.ID))<<32 | e.transactions.Add(1)
}

const cancelTimeout = 2 * time.Second

// cancelRequest asks the owner of the running transaction to cancel what the endpoint executes for it.
func (c *caller) cancelRequest() {
	now := c.running.Load()
	if now == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.entry.ctx, cancelTimeout)
	defer cancel()
	stream, err := c.entry.options.Owners.Open(ctx, now.endpoint)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	request := &wire.Cancel{Endpoint: now.endpoint.Name, Id: now.id}
	if stream.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: request}}) == nil {
		_, _ = stream.Receive()
	}
}
