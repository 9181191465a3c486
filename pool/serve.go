package pool

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/session"
	"siskincove/verdict"
)

const (
	// establishPatience is how long a write waits for a new primary to become usable.
	establishPatience = 300 * time.Millisecond
	// unusableAfter is when a caller should come back to an endpoint that is not, or not yet, a usable primary.
	unusableAfter = 200 * time.Millisecond
	// laggingAfter is when a caller should come back to a replica that is behind.
	laggingAfter = 100 * time.Millisecond
)

// transaction is one transaction, or one statement outside a transaction, at the endpoint.
type transaction struct {
	pool       *Pool
	open       *wire.Open
	stream     peer.Stream
	class      limit.Class
	budget     time.Duration
	term       endpoint.LogTerm
	connection *connection
	granted    time.Time
	dirty      string
	// unsynced is set while a command has completed whose commit comes with a later Sync.
	unsynced bool
	// cancelling is held while a cancel request is under way; over tells that the connection is no longer the
	// transaction's.
	cancelling sync.Mutex
	over       bool
}

// Serve runs the transaction that a peer opened on the stream, and reports whether its last answer was sent.
func (p *Pool) Serve(ctx context.Context, open *wire.Open, class limit.Class, stream peer.Stream) bool {
	t := &transaction{pool: p, open: open, stream: stream, class: class, budget: deadlineOf(open)}
	p.enter()
	defer p.leave()
	ctx, cancel := context.WithTimeout(ctx, t.budget)
	err := t.start(ctx)
	cancel()
	if err != nil {
		return t.refuse(err)
	}
	p.register(t)
	return t.run()
}

func deadlineOf(open *wire.Open) time.Duration {
	if open.GetDeadline() == 0 {
		return defaultDeadline
	}
	return peer.Duration(open.GetDeadline())
}

func (p *Pool) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight++
}

func (p *Pool) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight--
}

// start checks that the endpoint may serve, then takes a slot and a connection.
func (t *transaction) start(ctx context.Context) error {
	if err := t.pool.accepting(); err != nil {
		return err
	}
	if err := t.check(ctx); err != nil {
		return err
	}
	if err := t.pool.slots.Admit(ctx, t.class, t.pool.now().Add(t.budget)); err != nil {
		return err
	}
	t.granted = t.pool.now()
	c, err := t.pool.checkout(ctx, !t.open.GetWrite())
	if err != nil {
		t.pool.slots.Release(t.pool.now().Sub(t.granted))
		return err
	}
	t.connection = c
	return nil
}

func (p *Pool) accepting() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.Leaving, "endpoint %s takes no new work", p.name).WithAfter(unusableAfter)
	}
	return nil
}

func (t *transaction) check(ctx context.Context) error {
	if t.open.GetWrite() {
		return t.checkWrite(ctx)
	}
	return t.checkRead(ctx)
}

// checkWrite requires an established primary whose commits can be confirmed.
func (t *transaction) checkWrite(ctx context.Context) error {
	p := t.pool
	known := p.known()
	if known.silence > 0 {
		return unreachable().WithAfter(unusableAfter)
	}
	status := known.status
	if !status.Leads() || p.confirmer.superseded(status.Fenced) {
		return verdict.New(verdict.NotRun, verdict.NotPrimary, "endpoint is not the primary").WithAfter(unusableAfter)
	}
	t.term = status.Log.Term
	if !p.waitEstablished(ctx, t.term) {
		return verdict.New(verdict.NotRun, verdict.NotPrimary, "primary is not established").WithAfter(unusableAfter)
	}
	if !p.confirmer.confirmable(t.term) {
		return verdict.New(verdict.NotRun, verdict.Unconfirmable, "no replica could confirm a commit").WithAfter(unusableAfter)
	}
	return nil
}

func (p *Pool) waitEstablished(ctx context.Context, term endpoint.LogTerm) bool {
	limit := p.now().Add(establishPatience)
	for !p.confirmer.serves(term) {
		if ctx.Err() != nil || p.now().After(limit) {
			return false
		}
		<-p.clock.After(reachPause)
	}
	return true
}

// checkRead requires an endpoint that is fresh enough, or becomes so within the caller's patience.
func (t *transaction) checkRead(ctx context.Context) error {
	p := t.pool
	need := session.Requirement{Position: peer.FromPosition(t.open.GetToken()), MaxAge: peer.Duration(t.open.GetAge())}
	known := p.known()
	freshness := p.freshness(need, known.status)
	if freshness == session.Fresh && known.silence == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peer.Duration(t.open.GetPatience()))
	defer cancel()
	status, err := p.until(ctx, func(s endpoint.Status) bool { return p.freshness(need, s) == session.Fresh })
	if err != nil && ctx.Err() == nil {
		return unreachable().WithCause(err).WithAfter(unusableAfter)
	}
	if freshness = p.freshness(need, status); err != nil || freshness != session.Fresh {
		return verdict.New(verdict.NotRun, verdict.Stale, "endpoint is %s", freshness).WithAfter(laggingAfter)
	}
	return nil
}

func (p *Pool) freshness(need session.Requirement, status endpoint.Status) session.Freshness {
	p.mu.Lock()
	history := p.history
	p.mu.Unlock()
	return session.Check(need, status.Applied, history, p.now())
}

// refuse sends the final answer to a transaction that did not start.
func (t *transaction) refuse(err error) bool {
	e := verdict.From(err)
	p := t.pool
	p.logger.Log(event.PoolRefused, log.Fields{
		"endpoint": t.open.GetEndpoint(), "reason": string(e.Reason), "verdict": e.Verdict.String(), "cause": e.Error(),
	})
	return t.send(&wire.Response{Last: true, Failure: peer.ToFailure(e)}) == nil
}

func (t *transaction) send(r *wire.Response) error {
	if known := t.pool.known(); r.GetLast() && known.silence == 0 {
		r.Endpoint = peer.ToStatus(known.status)
		r.Waiting = uint32(t.pool.queued())
	}
	return t.stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: r}})
}

func (p *Pool) queued() int { return p.slots.Waiting() }

// finish returns the connection, if its state is certain, and the slot; this comes before the last answer is sent, so
// that a caller's next request finds them free.
func (t *transaction) finish() {
	if t.end() {
		return
	}
	t.pool.unregister(t)
	if t.dirty == "" {
		t.pool.checkin(t.connection)
	} else {
		t.pool.discard(t.connection, t.dirty)
	}
	t.pool.slots.Release(t.pool.now().Sub(t.granted))
}

// end marks the connection as no longer the transaction's, and reports whether it was marked before.
func (t *transaction) end() bool {
	t.cancelling.Lock()
	defer t.cancelling.Unlock()
	before := t.over
	t.over = true
	return before
}

// run serves requests until the transaction has ended or cannot go on, and reports whether its last answer was sent.
func (t *transaction) run() bool {
	request := t.open.GetRequest()
	for {
		ended, sent := t.serve(request)
		if ended {
			return sent
		}
		frame, err := t.stream.Receive()
		if err != nil || frame.GetRequest() == nil {
			t.abandon()
			t.finish()
			return false
		}
		request = frame.GetRequest()
	}
}

// abandon rolls back a transaction whose caller has gone; a connection that does not answer cleanly is dropped.
func (t *transaction) abandon() {
	t.dirty = "caller left inside a transaction"
	c := t.connection
	_ = c.conn.SetDeadline(t.pool.now().Add(questionTimeout))
	a, err := t.pool.plain(c, "ROLLBACK")
	if err == nil && a.status == statusIdle && a.code == "" {
		t.dirty = ""
	}
}
