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

// serve runs one request, and reports whether the transaction has ended and whether the answer was sent.
func (t *transaction) serve(request *wire.Request) (ended, sent bool) {
	a, position, err := t.exchange(request)
	if err != nil {
		t.dirty = "request failed"
		return true, t.fail(err)
	}
	if failure := t.misplaced(a); failure != nil {
		return true, t.fail(failure)
	}
	response := &wire.Response{Payload: a.out, Last: true, Status: uint32(a.status), Position: peer.ToPosition(position)}
	if a.status == statusIdle {
		t.finish()
		return true, t.send(response) == nil
	}
	if t.send(response) != nil {
		t.abandon()
		t.finish()
		return true, false
	}
	return false, true
}

// fail ends the transaction and sends why.
func (t *transaction) fail(err error) bool {
	t.finish()
	return t.send(&wire.Response{Last: true, Failure: peer.ToFailure(err), Status: uint32(statusIdle)}) == nil
}

// misplaced returns a refusal for a write that the endpoint itself refused on a read-only connection.
func (t *transaction) misplaced(a *answer) error {
	if a.code != codeReadOnly || a.status != statusIdle || a.committed {
		return nil
	}
	if !t.open.GetWrite() {
		return verdict.New(verdict.NotRun, verdict.ReadOnly, "statement writes but was sent as a read")
	}
	return verdict.New(verdict.NotRun, verdict.NotPrimary, "endpoint refuses writes").WithAfter(unusableAfter)
}

// exchange sends a request and collects its answer; a commit is confirmed before this returns.
func (t *transaction) exchange(request *wire.Request) (*answer, endpoint.Position, error) {
	c := t.connection
	_ = c.conn.SetDeadline(t.pool.now().Add(t.budget))
	b, err := newBatch(c, request)
	if err != nil {
		return nil, endpoint.Position{}, verdict.New(verdict.NotRun, verdict.Unsupported, "request is malformed").WithCause(err)
	}
	if err := t.pool.applySettings(c, t.open.GetSettings()); err != nil {
		return nil, endpoint.Position{}, verdict.New(verdict.NotRun, verdict.Broken, "connection failed before the request was sent").WithCause(err)
	}
	pipelined := t.open.GetWrite() && request.GetEnds()
	if err := t.write(b, pipelined); err != nil {
		return nil, endpoint.Position{}, t.broken(err)
	}
	a := newAnswer(c, b)
	if err := t.collect(a); err != nil {
		return nil, endpoint.Position{}, t.broken(err)
	}
	position, err := t.confirm(a, pipelined)
	return a, position, err
}

func (t *transaction) write(b batch, pipelined bool) error {
	payload := b.payload
	if pipelined {
		payload = append(payload[:len(payload):len(payload)], t.pool.positionQuery()...)
	}
	_, err := t.connection.conn.Write(payload)
	return err
}

func (p *Pool) positionQuery() message.Raw {
	return message.New(message.Query, append([]byte(p.settings().Vendor.PositionQuery()), 0))
}

// broken is the verdict on a connection that failed after a request was sent on it.
func (t *transaction) broken(err error) error {
	v := verdict.MayHaveRun
	if !t.open.GetWrite() {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Broken, "connection to the endpoint failed").WithCause(err).WithAfter(unusableAfter)
}

// collect reads until every expected answer has come, sending large answers on in chunks.
func (t *transaction) collect(a *answer) error {
	for !a.done() {
		if err := a.read(); err != nil {
			return err
		}
		chunk := a.ready(t.open.GetWrite())
		if chunk == nil {
			continue
		}
		if err := t.send(&wire.Response{Payload: chunk}); err != nil {
			return errors.Wrap(err, "caller's instance")
		}
	}
	return nil
}

// confirm returns the position of a commit once a majority holds it; other answers need no confirmation.
func (t *transaction) confirm(a *answer, pipelined bool) (endpoint.Position, error) {
	none := endpoint.Position{}
	committed := a.committed || t.unsynced
	t.unsynced = committed && a.status == 0
	if !t.open.GetWrite() || !pipelined && (a.status != statusIdle || !committed) {
		return none, nil
	}
	position, err := t.position(pipelined)
	if err != nil {
		return none, t.broken(err)
	}
	if a.status != statusIdle || !committed {
		return none, nil
	}
	if position.Term != t.term {
		return none, verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "primary changed during the commit")
	}
	// The endpoint has done its part, so the slot and the connection are free while the replicas do theirs.
	t.finish()
	ctx, cancel := context.WithTimeout(t.pool.ctx, t.budget)
	defer cancel()
	if err := t.pool.confirmer.wait(ctx, position); err != nil {
		t.pool.logger.Log(event.CommitUnconfirmed, log.Fields{
			"endpoint": t.open.GetEndpoint(), "position": position.String(),
		})
		return none, err
	}
	return position, nil
}

// position reads the answer to the position query, which it sends unless that was done with the request.
func (t *transaction) position(pipelined bool) (endpoint.Position, error) {
	c := t.connection
	if !pipelined {
		if _, err := c.conn.Write(t.pool.positionQuery()); err != nil {
			return endpoint.Position{}, err
		}
	}
	a := newAnswer(c, batch{operations: []operation{{kind: message.Query}}})
	for !a.done() {
		if err := a.read(); err != nil {
			return endpoint.Position{}, err
		}
	}
	if a.code != "" {
		return endpoint.Position{}, nil
	}
	row, err := firstRow(a.out)
	if err != nil {
		return endpoint.Position{}, err
	}
	return t.pool.settings().Vendor.ParsePosition(row)
}

// plain runs one statement of the pool's own on a connection.
func (p *Pool) plain(c *connection, sql string) (*answer, error) {
	if _, err := c.conn.Write(message.New(message.Query, append([]byte(sql), 0))); err != nil {
		return nil, err
	}
	a := newAnswer(c, batch{operations: []operation{{kind: message.Query}}})
	for !a.done() {
		if err := a.read(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

// applySettings brings the connection's settings to those of the session.
func (p *Pool) applySettings(c *connection, wanted []*wire.Setting) error {
	sql := c.settingsQuery(wanted)
	if sql == "" {
		return nil
	}
	a, err := p.plain(c, sql)
	if err != nil {
		return err
	}
	if a.code != "" {
		return errors.Newf("endpoint refused a setting with SQLSTATE %s", a.code)
	}
	return nil
}
