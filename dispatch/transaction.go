package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/connection"
	"siskincove/event"
	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

// rollbackTimeout bounds a rollback; after it the connection is closed, which also rolls back.
const rollbackTimeout = time.Second

// transaction is an open transaction. It has no endpoint until its first statement, so beginning and ending an empty
// one costs nothing.
type transaction struct {
	session *Session
	// readWrite is set if the transaction may write; it then runs at the primary.
	readWrite bool
	idleLimit time.Duration
	// firstItem is the work item of the first statement, from which those of further statements are derived; nil before
	// it.
	firstItem *workItem
	conn      *connection.PooledConn
	pool      *connection.Pool
	choice    group.Choice
	// connSince is when conn was acquired.
	connSince time.Time
	wrote     bool
	// settingsChanged is set if the session's settings changed inside the transaction.
	settingsChanged bool
}

func (s *Session) begin(r statement.Request) statement.Answer {
	if s.state != statement.Idle {
		return s.malformed("a transaction is already open")
	}
	_, catalog, refused := s.dispatcher.route(s.routeName)
	if refused != nil {
		return statement.Refusal(refused, s.state)
	}
	s.tx = &transaction{session: s, readWrite: r.Kind == statement.Begin, idleLimit: catalog.IdleTimeout()}
	s.state = statement.Open
	return statement.Answer{}
}

// runInTransaction runs a statement in the open transaction.
func (s *Session) runInTransaction(ctx context.Context, j job) statement.Answer {
	if !s.tx.readWrite && j.request.Writes {
		s.tx.abort("write in a read-only transaction")
		s.state = statement.Failed
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.ReadOnly, "transaction is read-only"), s.state)
	}
	if s.tx.conn == nil {
		return s.runFirst(ctx, j)
	}
	return s.runNext(ctx, j)
}

// runFirst starts the transaction at an endpoint with its first statement. Until that has succeeded, the transaction
// may start again at another endpoint.
func (s *Session) runFirst(ctx context.Context, j job) statement.Answer {
	w, refused := s.newWorkItem(s.tx.readWrite)
	if refused != nil {
		return s.failTransaction(statement.Refusal(refused, statement.Failed))
	}
	if refused := w.takeOperation(ctx); refused != nil {
		return s.failTransaction(w.refuse(j.request, refused))
	}
	for {
		choice, refused := w.nextEndpoint(ctx)
		if refused != nil {
			return s.failTransaction(w.refuse(j.request, refused))
		}
		a, final := s.tx.start(ctx, w, j, choice)
		if !final {
			continue
		}
		if a.Failure != nil {
			return s.failTransaction(w.finish(j.request, a))
		}
		return w.finish(j.request, a)
	}
}

// start begins the transaction at an endpoint and runs its first statement there. It reports whether the answer is
// final.
func (t *transaction) start(ctx context.Context, w *workItem, j job, c group.Choice) (statement.Answer, bool) {
	acquireStarted := t.session.dispatcher.now()
	conn, pool, err := w.acquire(ctx, c)
	if err != nil {
		w.recordFailure(j.request, c, err, statement.Answer{}, acquireStarted)
		return statement.Answer{}, false
	}
	if refused := w.reauthorize(); refused != nil {
		pool.Release(conn, true, 0)
		w.returnOperation()
		return statement.Refusal(refused, statement.Failed), true
	}
	t.conn, t.pool, t.firstItem, t.choice, t.connSince = conn, pool, w, c, t.session.dispatcher.now()
	a, err := t.beginAndRun(ctx, w, j, c)
	if err != nil {
		// No effect of a transaction is kept unless its commit was sent.
		failure := verdict.New(verdict.NotRun, verdict.Broken, "connection was lost before the commit").WithCause(err)
		w.recordFailure(j.request, c, failure, statement.Answer{}, t.connSince)
		t.release(false)
		return statement.Answer{}, false
	}
	if a.Failure == nil {
		w.recordSuccess(j.request, c, a, t.connSince)
		t.wrote = j.request.Writes
		conn.MarkIdleInTransaction()
		return a, true
	}
	w.recordFailure(j.request, c, a.Failure, a, t.connSince)
	t.releaseFailed(a.State)
	retry := a.Failure.Verdict == verdict.NotRun && a.Failure.Reason != verdict.Malformed && a.Failure.Reason != verdict.Oversized
	return a, !retry
}

// beginAndRun begins the transaction on its connection and runs the first statement. The statement is sent only once
// the begin has succeeded; sent together with a refused begin, it would run outside the transaction.
func (t *transaction) beginAndRun(ctx context.Context, w *workItem, j job, c group.Choice) (statement.Answer, error) {
	w.giveBack = nil
	deadline := w.attemptDeadline(true, t.choice)
	setup := t.conn.Setup(t.session.settings, j.needed()...)
	guard := len(setup) + 1
	answers, err := t.conn.ExchangeGuarded(ctx, deadline, guard, append(setup, t.beginStep(c), statement.Step{Request: j.request})...)
	if err != nil {
		return statement.Answer{}, err
	}
	return *j.answer(answers, guard), nil
}

// releaseFailed releases the connection after the first statement failed, and rolls back a transaction that is still
// open on it.
func (t *transaction) releaseFailed(state statement.State) {
	if state == statement.Idle {
		t.release(true)
		return
	}
	t.rollbackInBackground()
}

// beginStep returns the step that begins the transaction. If only the primary may serve its reads, it begins a
// read-write transaction, because an endpoint that has lost the lead refuses only those.
func (t *transaction) beginStep(c group.Choice) statement.Step {
	if t.readWrite || c.Lead {
		return statement.ProxyStep(statement.Begin)
	}
	step := statement.ProxyStep(statement.BeginRead)
	step.After = c.After
	return step
}

// runNext runs a further statement on the transaction's connection and waits for a slot if the endpoint has none free.
func (s *Session) runNext(ctx context.Context, j job) statement.Answer {
	w := s.tx.nextItem()
	for {
		sent := s.dispatcher.now()
		setup := s.tx.conn.Setup(s.settings, j.needed()...)
		answers, err := s.tx.conn.ExchangeAfter(ctx, w.deadline, setup, statement.Step{Request: j.request})
		answer := j.answer(answers, len(setup))
		if answer == nil || err != nil && len(answers) <= len(setup) {
			return s.handleConnectionLost(w, j.request, err)
		}
		a := *answer
		if a.Failure == nil {
			w.recordSuccess(j.request, s.tx.choice, a, sent)
			s.tx.wrote = s.tx.wrote || j.request.Writes
			s.tx.conn.MarkIdleInTransaction()
			return w.finish(j.request, a)
		}
		w.recordFailure(j.request, s.tx.choice, a.Failure, a, sent)
		if refused := s.waitForSlot(ctx, w, a); refused != nil {
			return s.failTransaction(w.finish(j.request, statement.Refusal(refused, statement.Failed)))
		}
	}
}

// nextItem returns the work item of a further statement of the transaction.
func (t *transaction) nextItem() *workItem {
	w := *t.firstItem
	now := t.session.dispatcher.now()
	w.deadline = now.Add(w.deadline.Sub(w.started))
	w.started, w.attempts, w.lastFailure, w.chosenRule = now, 1, nil, "transaction"
	w.backoff = w.routeBackoff.scaled(openTransactionBackoffFactor)
	return &w
}

// waitForSlot pauses before the next attempt of a statement that found no free slot. It returns a failure if the
// statement is not to be retried.
func (s *Session) waitForSlot(ctx context.Context, w *workItem, a statement.Answer) *verdict.Error {
	if a.Failure.Reason != verdict.Overload || a.State != statement.Open {
		return a.Failure
	}
	if w.deadline.Sub(s.dispatcher.now()) < minAttemptTime {
		return verdict.New(verdict.NotRun, verdict.Aborted, "no free slot before the deadline; transaction was rolled back").WithRetryAfter(defaultRetryAfter)
	}
	w.attempts++
	if refused := w.pause(ctx, w.nextBackoff(), nil); refused != nil {
		return refused
	}
	return w.reauthorize()
}

// handleConnectionLost fails the transaction after its connection was lost; no effect of it is kept.
func (s *Session) handleConnectionLost(w *workItem, r statement.Request, err error) statement.Answer {
	failure := verdict.New(verdict.NotRun, verdict.Aborted, "connection to the endpoint was lost before the commit").WithCause(err)
	w.recordFailure(r, s.tx.choice, failure, statement.Answer{}, w.started)
	s.tx.release(false)
	return s.failTransaction(w.finish(r, statement.Refusal(failure, statement.Failed)))
}

// failTransaction rolls the transaction back and marks it as failed; the caller then has to end it. Since nothing of it
// is kept, a verdict of "not run" applies to the whole transaction.
func (s *Session) failTransaction(a statement.Answer) statement.Answer {
	s.tx.rollbackInBackground()
	s.state = statement.Failed
	return a
}

func (s *Session) rollback() statement.Answer {
	if s.state == statement.Idle {
		return s.malformed("no transaction is open")
	}
	s.Close()
	return statement.Answer{}
}

// rollbackInBackground rolls the transaction back and releases its connection, without waiting for either.
func (t *transaction) rollbackInBackground() {
	if t.conn == nil {
		return
	}
	if t.settingsChanged {
		t.conn.MarkUncertain()
	}
	t.session.dispatcher.rollBackAndRelease(t.conn, t.pool, t.connSince)
	t.conn = nil
}

// rollBackAndRelease rolls back the transaction on a connection that was acquired at the given time and releases it, without waiting
// for either.
func (d *Dispatcher) rollBackAndRelease(conn *connection.PooledConn, pool *connection.Pool, since time.Time) {
	d.background.Go(func() {
		answers, err := conn.Exchange(d.ctx, d.now().Add(rollbackTimeout), statement.ProxyStep(statement.Rollback))
		clean := err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle
		pool.Release(conn, clean, d.now().Sub(since))
	})
}

// release releases the connection without a rollback.
func (t *transaction) release(reuse bool) {
	if t.conn == nil {
		return
	}
	t.pool.Release(t.conn, reuse, t.session.dispatcher.now().Sub(t.connSince))
	t.conn = nil
}

// abort rolls the transaction back without the caller's request, and logs why.
func (t *transaction) abort(why string) {
	t.session.dispatcher.options.Logger.Log(event.TransactionRolledBack, log.Fields{"route": t.session.routeName, "why": why})
	t.rollbackInBackground()
}
