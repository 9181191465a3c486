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
	// establishWait is how long a write waits for a new primary to be established.
	establishWait = 300 * time.Millisecond
	// unusableRetryAfter is the suggested delay before retrying an endpoint that can't serve requests at the moment, for
	// example because it is no primary, does not respond or is being drained.
	unusableRetryAfter = 200 * time.Millisecond
	// laggingRetryAfter is the suggested delay before retrying an endpoint whose data is not fresh enough.
	laggingRetryAfter = 100 * time.Millisecond
)

// transaction is a transaction, or a single statement outside of one, at the endpoint.
type transaction struct {
	pool        *Pool
	openRequest *wire.Open
	stream      peer.Stream
	class       limit.Class
	timeLimit   time.Duration
	// term is the primary's term when the transaction started. It is set only for writes.
	term        endpoint.LogTerm
	connection  *connection
	slotTakenAt time.Time
	// discardReason is why release closes the connection, "" if the connection may be reused.
	discardReason string
	// unsynced is set while a completed command will be committed by a later Sync.
	unsynced bool
	// cancelMu is held while a cancel request is being delivered. released is set once the transaction no longer owns
	// the connection.
	cancelMu sync.Mutex
	released bool
}

// Serve runs the transaction that a peer opened on the stream, and reports whether its last response was sent.
func (p *Pool) Serve(ctx context.Context, open *wire.Open, class limit.Class, stream peer.Stream) bool {
	t := &transaction{pool: p, openRequest: open, stream: stream, class: class, timeLimit: timeLimitOf(open)}
	p.incInflight()
	defer p.decInflight()
	ctx, cancel := context.WithTimeout(ctx, t.timeLimit)
	err := t.start(ctx)
	cancel()
	if err != nil {
		return t.refuse(err)
	}
	p.register(t)
	return t.run()
}

func timeLimitOf(open *wire.Open) time.Duration {
	if open.GetDeadline() == 0 {
		return defaultDeadline
	}
	return peer.Duration(open.GetDeadline())
}

func (p *Pool) incInflight() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight++
}

func (p *Pool) decInflight() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inflight--
}

// start checks that the endpoint may serve the transaction, then takes a slot and a connection.
func (t *transaction) start(ctx context.Context) error {
	if err := t.pool.checkAccepting(); err != nil {
		return err
	}
	if err := t.check(ctx); err != nil {
		return err
	}
	if err := t.pool.slots.Admit(ctx, limit.Request{Class: t.class, Deadline: t.pool.now().Add(t.timeLimit)}); err != nil {
		return err
	}
	t.slotTakenAt = t.pool.now()
	c, err := t.pool.checkout(ctx, !t.openRequest.GetWrite())
	if err != nil {
		t.pool.slots.Release(t.pool.now().Sub(t.slotTakenAt))
		return err
	}
	t.connection = c
	return nil
}

func (p *Pool) checkAccepting() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.ctx.Err() != nil {
		return verdict.New(verdict.NotRun, verdict.Leaving, "endpoint %s accepts no new transactions", p.name).WithRetryAfter(unusableRetryAfter)
	}
	return nil
}

func (t *transaction) check(ctx context.Context) error {
	if t.openRequest.GetWrite() {
		return t.checkWrite(ctx)
	}
	return t.checkRead(ctx)
}

// checkWrite requires an established primary whose commits can be confirmed.
func (t *transaction) checkWrite(ctx context.Context) error {
	p := t.pool
	snapshot := p.snapshot()
	if snapshot.unresponsiveFor > 0 {
		return unreachable().WithRetryAfter(unusableRetryAfter)
	}
	status := snapshot.status
	if !status.Leads() || p.confirmer.superseded(status.Fenced) {
		return verdict.New(verdict.NotRun, verdict.NotPrimary, "endpoint is not the primary").WithRetryAfter(unusableRetryAfter)
	}
	t.term = status.Log.Term
	if !p.waitEstablished(ctx, t.term) {
		return verdict.New(verdict.NotRun, verdict.NotPrimary, "primary is not established").WithRetryAfter(unusableRetryAfter)
	}
	if !p.confirmer.confirmable(t.term) {
		return verdict.New(verdict.NotRun, verdict.Unconfirmable, "not enough replicas can confirm a commit").WithRetryAfter(unusableRetryAfter)
	}
	return nil
}

func (p *Pool) waitEstablished(ctx context.Context, term endpoint.LogTerm) bool {
	deadline := p.now().Add(establishWait)
	for !p.confirmer.isEstablished(term) {
		if ctx.Err() != nil || p.now().After(deadline) {
			return false
		}
		<-p.clock.After(statusPollInterval)
	}
	return true
}

// checkRead requires an endpoint that is fresh enough, or becomes so within the time that the request allows.
func (t *transaction) checkRead(ctx context.Context) error {
	p := t.pool
	required := session.Requirement{Position: peer.FromPosition(t.openRequest.GetToken()), MaxAge: peer.Duration(t.openRequest.GetAge())}
	snapshot := p.snapshot()
	freshness := p.freshness(required, snapshot.status)
	if freshness == session.Fresh && snapshot.unresponsiveFor == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peer.Duration(t.openRequest.GetPatience()))
	defer cancel()
	status, err := p.waitForStatus(ctx, func(s endpoint.Status) bool { return p.freshness(required, s) == session.Fresh })
	if err != nil && ctx.Err() == nil {
		return unreachable().WithCause(err).WithRetryAfter(unusableRetryAfter)
	}
	if freshness = p.freshness(required, status); err != nil || freshness != session.Fresh {
		return verdict.New(verdict.NotRun, verdict.Stale, "endpoint is %s", freshness).WithRetryAfter(laggingRetryAfter)
	}
	return nil
}

func (p *Pool) freshness(required session.Requirement, status endpoint.Status) session.Freshness {
	p.mu.Lock()
	history := p.history
	p.mu.Unlock()
	return session.Check(required, status.Applied, history, p.now())
}

// refuse sends the error of a transaction that did not start, and reports whether it was sent.
func (t *transaction) refuse(err error) bool {
	e := verdict.From(err)
	p := t.pool
	p.logger.Log(event.OwnerRefused, log.Fields{
		"endpoint": t.openRequest.GetEndpoint(), "reason": string(e.Reason), "verdict": e.Verdict.String(), "cause": e.Error(),
	})
	return t.send(&wire.Response{Last: true, Failure: peer.ToFailure(e)}) == nil
}

// send sends a response. The last one to a request also carries the endpoint's status, if the endpoint responds, and the
// number of waiting transactions.
func (t *transaction) send(r *wire.Response) error {
	if snapshot := t.pool.snapshot(); r.GetLast() && snapshot.unresponsiveFor == 0 {
		r.Endpoint = peer.ToStatus(snapshot.status)
		r.Waiting = uint32(t.pool.queued())
	}
	return t.stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: r}})
}

func (p *Pool) queued() int { return p.slots.Waiting() }

// release returns the slot, and the connection unless its state is uncertain. It is called before the last response is
// sent, so that the caller's next request finds them free.
func (t *transaction) release() {
	if t.markReleased() {
		return
	}
	t.pool.unregister(t)
	if t.discardReason == "" {
		t.pool.checkin(t.connection)
	} else {
		t.pool.discard(t.connection, t.discardReason)
	}
	t.pool.slots.Release(t.pool.now().Sub(t.slotTakenAt))
}

// markReleased marks the connection as released and reports whether it already was.
func (t *transaction) markReleased() bool {
	t.cancelMu.Lock()
	defer t.cancelMu.Unlock()
	already := t.released
	t.released = true
	return already
}

// run serves requests until the transaction ends or can't continue, and reports whether its last response was sent.
func (t *transaction) run() bool {
	request := t.openRequest.GetRequest()
	for {
		ended, sent := t.serveRequest(request)
		if ended {
			return sent
		}
		frame, err := t.stream.Receive()
		if err != nil || frame.GetRequest() == nil {
			t.abandon()
			t.release()
			return false
		}
		request = frame.GetRequest()
	}
}

// abandon rolls back a transaction whose stream has ended, as when its caller disconnects. The connection is discarded
// unless the rollback succeeds.
func (t *transaction) abandon() {
	t.discardReason = "caller disconnected inside a transaction"
	c := t.connection
	_ = c.conn.SetDeadline(t.pool.now().Add(statusQueryTimeout))
	r, err := t.pool.execSimple(c, "ROLLBACK")
	if err == nil && r.status == statusIdle && r.sqlState == "" {
		t.discardReason = ""
	}
}
