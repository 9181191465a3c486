package pool

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/message"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// serveRequest runs one request. It reports whether the transaction has ended and whether the response was sent.
func (t *transaction) serveRequest(request *wire.Request) (ended, sent bool) {
	r, position, err := t.exchange(request)
	if err != nil {
		t.discardReason = "request failed"
		return true, t.fail(err)
	}
	if failure := t.readOnlyRefusal(r); failure != nil {
		return true, t.fail(failure)
	}
	response := &wire.Response{Payload: r.payload, Last: true, Status: uint32(r.status), Position: peer.ToPosition(position)}
	if r.status == statusIdle {
		t.release()
		return true, t.send(response) == nil
	}
	if t.send(response) != nil {
		t.abandon()
		t.release()
		return true, false
	}
	return false, true
}

// fail ends the transaction, sends the error and reports whether it was sent.
func (t *transaction) fail(err error) bool {
	t.release()
	return t.send(&wire.Response{Last: true, Failure: peer.ToFailure(err), Status: uint32(statusIdle)}) == nil
}

// readOnlyRefusal returns an error if the endpoint rejected a write because the connection or the endpoint is
// read-only.
func (t *transaction) readOnlyRefusal(r *reply) error {
	if r.sqlState != sqlStateReadOnly || r.status != statusIdle || r.commandCompleted {
		return nil
	}
	if !t.openRequest.GetWrite() {
		return verdict.New(verdict.NotRun, verdict.ReadOnly, "write statement was sent as a read")
	}
	return verdict.New(verdict.NotRun, verdict.NotPrimary, "endpoint rejects writes").WithRetryAfter(unusableRetryAfter)
}

// exchange sends a request and collects the reply. If the request commits a write, it returns after the commit is
// confirmed. The position query is sent together with a request that ends a write, which saves a round trip.
func (t *transaction) exchange(request *wire.Request) (*reply, endpoint.Position, error) {
	c := t.connection
	_ = c.conn.SetDeadline(t.pool.now().Add(t.timeLimit))
	b, err := newBatch(c, request)
	if err != nil {
		return nil, endpoint.Position{}, verdict.New(verdict.NotRun, verdict.Unsupported, "malformed request").WithCause(err)
	}
	if err := t.pool.applySettings(c, t.openRequest.GetSettings()); err != nil {
		return nil, endpoint.Position{}, verdict.New(verdict.NotRun, verdict.Broken, "session settings could not be applied").WithCause(err)
	}
	positionPipelined := t.openRequest.GetWrite() && request.GetEnds()
	if err := t.writeBatch(b, positionPipelined); err != nil {
		return nil, endpoint.Position{}, t.connectionError(err)
	}
	r := newReply(c, b)
	if err := t.collectReply(r); err != nil {
		return nil, endpoint.Position{}, t.connectionError(err)
	}
	position, err := t.confirm(r, positionPipelined)
	return r, position, err
}

func (t *transaction) writeBatch(b batch, positionPipelined bool) error {
	payload := b.payload
	if positionPipelined {
		payload = append(payload[:len(payload):len(payload)], t.pool.positionQuery()...)
	}
	_, err := t.connection.conn.Write(payload)
	return err
}

func (p *Pool) positionQuery() message.Raw {
	return message.New(message.Query, append([]byte(p.currentOptions().Vendor.PositionQuery()), 0))
}

// connectionError returns the error of a request whose connection to the endpoint failed after the request was sent, or
// whose response could not be forwarded to the caller's instance.
func (t *transaction) connectionError(err error) error {
	v := verdict.MayHaveRun
	if !t.openRequest.GetWrite() {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Broken, "connection failed before the request was answered").WithCause(err).WithRetryAfter(unusableRetryAfter)
}

// collectReply reads until every expected response has arrived, forwarding large replies in chunks.
func (t *transaction) collectReply(r *reply) error {
	for !r.done() {
		if err := r.readMessage(); err != nil {
			return err
		}
		chunk := r.takeChunk(t.openRequest.GetWrite())
		if chunk == nil {
			continue
		}
		if err := t.send(&wire.Response{Payload: chunk}); err != nil {
			return errors.Wrap(err, "forward response to the caller's instance")
		}
	}
	return nil
}

// confirm returns the position of a commit once a majority of the endpoints has it in its log. Requests that commit
// nothing need no confirmation.
func (t *transaction) confirm(r *reply, positionPipelined bool) (endpoint.Position, error) {
	none := endpoint.Position{}
	completed := r.commandCompleted || t.unsynced
	t.unsynced = completed && r.status == 0
	// The result of a position query that was sent with the request must be read even if nothing was committed.
	if !t.openRequest.GetWrite() || !positionPipelined && (r.status != statusIdle || !completed) {
		return none, nil
	}
	position, err := t.readPosition(positionPipelined)
	if err != nil {
		return none, t.connectionError(err)
	}
	if r.status != statusIdle || !completed {
		return none, nil
	}
	if position.Term != t.term {
		return none, verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "primary changed during the commit")
	}
	// The endpoint's work is done, so release the slot and the connection while waiting for the replicas.
	t.release()
	ctx, cancel := context.WithTimeout(t.pool.ctx, t.timeLimit)
	defer cancel()
	if err := t.pool.confirmer.wait(ctx, position); err != nil {
		t.pool.logger.Log(event.CommitUnconfirmed, log.Fields{
			"endpoint": t.openRequest.GetEndpoint(), "position": position.String(),
		})
		return none, err
	}
	return position, nil
}

// readPosition reads the result of the position query, which it sends first unless it was sent with the request. If the
// query fails with an SQL error, the position is zero: confirm reports a commit as unconfirmed then.
func (t *transaction) readPosition(positionPipelined bool) (endpoint.Position, error) {
	c := t.connection
	if !positionPipelined {
		if _, err := c.conn.Write(t.pool.positionQuery()); err != nil {
			return endpoint.Position{}, err
		}
	}
	r := newReply(c, batch{operations: []operation{{kind: message.Query}}})
	for !r.done() {
		if err := r.readMessage(); err != nil {
			return endpoint.Position{}, err
		}
	}
	if r.sqlState != "" {
		return endpoint.Position{}, nil
	}
	row, err := firstRow(r.payload)
	if err != nil {
		return endpoint.Position{}, err
	}
	return t.pool.currentOptions().Vendor.ParsePosition(row)
}

// execSimple runs one of the pool's own statements as a simple query.
func (p *Pool) execSimple(c *connection, sql string) (*reply, error) {
	if _, err := c.conn.Write(message.New(message.Query, append([]byte(sql), 0))); err != nil {
		return nil, err
	}
	r := newReply(c, batch{operations: []operation{{kind: message.Query}}})
	for !r.done() {
		if err := r.readMessage(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// applySettings changes the connection's settings to wanted, those of the session.
func (p *Pool) applySettings(c *connection, wanted []*wire.Setting) error {
	sql := c.settingsQuery(wanted)
	if sql == "" {
		return nil
	}
	r, err := p.execSimple(c, sql)
	if err != nil {
		return err
	}
	if r.sqlState != "" {
		return errors.Newf("endpoint rejected a setting with SQLSTATE %s", r.sqlState)
	}
	return nil
}
