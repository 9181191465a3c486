package entry

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/endpoint"
	"siskincove/peer/wire"
	"siskincove/session"
)

// sendToken sends the caller the token that covers a confirmed commit.
func (c *caller) sendToken(position endpoint.Position) {
	token := c.token.With(c.route.Database, position)
	text := token.Encode(c.name, c.server.options.Keys[0])
	c.send(&pgproto3.ParameterStatus{Name: session.TokenParameter, Value: text})
}

// nextTransactionID returns an ID for a transaction that is very probably unique at the owner, since each instance counts from a random
// number.
func (s *Server) nextTransactionID() uint64 { return s.lastTransaction.Add(1) }

const cancelTimeout = 2 * time.Second

// cancelRunning asks the owner of the running transaction to cancel the statement that its endpoint is executing.
func (c *caller) cancelRunning() {
	transaction := c.running.Load()
	if transaction == nil {
		return
	}
	ctx, cancel := context.WithTimeout(c.server.ctx, cancelTimeout)
	defer cancel()
	stream, err := c.server.options.Owners.Open(ctx, transaction.endpoint)
	if err != nil {
		return
	}
	defer func() { _ = stream.Close() }()
	request := &wire.Cancel{Endpoint: transaction.endpoint.Name, Id: transaction.id}
	if stream.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: request}}) == nil {
		_, _ = stream.Receive()
	}
}
