package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/connection"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

// runSingle runs a statement outside a transaction.
func (s *Session) runSingle(ctx context.Context, j job) statement.Answer {
	w, refused := s.newWorkItem(j.request.Writes)
	if refused != nil {
		return statement.Refusal(refused, s.state)
	}
	if refused := w.takeOperation(ctx); refused != nil {
		return w.refuse(j.request, refused)
	}
	for {
		choice, refused := w.nextEndpoint(ctx)
		if refused != nil {
			return w.refuse(j.request, refused)
		}
		a, final := w.try(ctx, j, choice)
		if final {
			return w.finish(j.request, a)
		}
	}
}

// try runs the statement at one endpoint and reports whether its answer is final.
func (w *workItem) try(ctx context.Context, j job, c group.Choice) (statement.Answer, bool) {
	acquireStarted := w.session.dispatcher.now()
	conn, pool, err := w.acquire(ctx, c)
	if err != nil {
		w.recordFailure(j.request, c, err, statement.Answer{}, acquireStarted)
		return statement.Answer{}, false
	}
	if refused := w.reauthorize(); refused != nil {
		pool.Release(conn, true, 0)
		w.returnOperation()
		return statement.Refusal(refused, statement.Idle), true
	}
	sent := w.session.dispatcher.now()
	a, err := w.exchangeAndRelease(ctx, j, c, conn, pool)
	if err != nil && a == nil {
		return w.handleNoAnswer(j, c, pool, err, sent)
	}
	return w.handleAnswer(j, c, *a, sent)
}

// exchangeAndRelease runs the statement on a connection and releases it, also if that panics. A transaction that the proxy began and
// that is still open, since the statement was not sent, is rolled back without waiting for it.
func (w *workItem) exchangeAndRelease(ctx context.Context, j job, c group.Choice, conn *connection.PooledConn, pool *connection.Pool) (*statement.Answer, error) {
	sent, reuse := w.session.dispatcher.now(), false
	defer func() {
		d := w.session.dispatcher
		if reuse && conn.InTransaction() {
			d.rollBackAndRelease(conn, pool, sent)
			return
		}
		pool.Release(conn, reuse, d.now().Sub(sent))
	}()
	a, err := w.exchange(ctx, j, c, conn)
	reuse = err == nil
	return a, err
}

// exchange runs the statement on a connection and returns its answer, nil if there was none. A read that only the
// primary may serve runs inside a transaction that the proxy begins, because an endpoint that has lost the lead refuses
// that. The read is sent only once the begin has succeeded; sent together with a refused begin, it would run outside
// the transaction.
func (w *workItem) exchange(ctx context.Context, j job, c group.Choice, conn *connection.PooledConn) (*statement.Answer, error) {
	w.giveBack = nil
	deadline := w.attemptDeadline(!j.request.Writes, c)
	setup := conn.Setup(w.session.settings, j.needed()...)
	step := statement.Step{Request: j.request}
	if j.request.Writes || !c.Lead {
		step.After = c.After
		answers, err := conn.ExchangeAfter(ctx, deadline, setup, step)
		return j.answer(answers, len(setup)), err
	}
	guard := len(setup) + 1
	steps := append(setup, statement.ProxyStep(statement.Begin), step, statement.ProxyStep(statement.Rollback))
	answers, err := conn.ExchangeGuarded(ctx, deadline, guard, steps...)
	return j.answer(answers, guard), err
}

// answer returns the answer to the statement, which was sent after the first guard steps, or why it was not sent. It is nil if there is
// none.
func (j job) answer(answers []statement.Answer, guard int) *statement.Answer {
	if refused := connection.NotSent(answers, guard); refused != nil {
		return refused
	}
	a := answerAt(answers, guard)
	if a == nil || a.Failure == nil || a.Failure.Reason != verdict.Unprepared || j.request.Kind != statement.Execute {
		return a
	}
	// The caller's PREPARE was acknowledged, so it must not be told that the name is unknown.
	unknown := *a
	unknown.Failure = verdict.New(verdict.NotRun, verdict.Aborted, "endpoint has lost the prepared statement").WithCause(a.Failure)
	return &unknown
}

func answerAt(answers []statement.Answer, at int) *statement.Answer {
	if at >= len(answers) {
		return nil
	}
	return &answers[at]
}

// needed returns the prepared statement that the statement executes, none if it executes none.
func (j job) needed() []statement.Prepared {
	if j.request.Kind != statement.Execute {
		return nil
	}
	return []statement.Prepared{j.prepared}
}

// acquire takes a connection to the chosen endpoint from its pool. Its errors have the verdict verdict.NotRun.
func (w *workItem) acquire(ctx context.Context, c group.Choice) (*connection.PooledConn, *connection.Pool, error) {
	pool, ok := w.database.Pool(c.Endpoint.Name)
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint is no longer registered")
	}
	conn, err := pool.Acquire(ctx, connection.Demand{
		Workspace: w.workspace.Name, Class: w.class, Flow: w.workspace.Name, Target: w.started.Add(w.targetLatency), Deadline: w.deadline,
		Settings: w.session.settings,
	})
	if err == nil && !w.database.AcceptsWork(c.Endpoint.Name) {
		// The endpoint is leaving, and its time for new work ended during the wait for a connection.
		pool.Release(conn, true, 0)
		return nil, nil, verdict.New(verdict.NotRun, verdict.Leaving, "endpoint is leaving")
	}
	if err == nil && w.query.Writes && w.database.IsBeingReplaced(c.Endpoint.Name) {
		pool.Release(conn, true, 0)
		return nil, nil, errBeingReplaced()
	}
	return conn, pool, err
}

// handleNoAnswer handles a statement whose connection ended before the answer. A read, or a statement that was not sent,
// is tried again; a write that was sent may have run and is not repeated.
func (w *workItem) handleNoAnswer(j job, c group.Choice, pool *connection.Pool, err error, sent time.Time) (statement.Answer, bool) {
	if !errors.Is(err, connection.ErrLender) {
		pool.CloseIdle()
	}
	if errors.Is(err, connection.ErrUnsent) {
		w.recordFailure(j.request, c, verdict.New(verdict.NotRun, verdict.Broken, "connection was lost before the statement").WithCause(err), statement.Answer{}, sent)
		return statement.Answer{}, false
	}
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "endpoint did not answer").WithCause(err)
	w.recordFailure(j.request, c, failure, statement.Answer{}, sent)
	if j.request.Writes {
		return statement.Refusal(failure, statement.Idle), true
	}
	if w.deadline.Sub(w.session.dispatcher.now()) < minAttemptTime {
		return statement.Refusal(verdict.New(verdict.MayHaveRun, verdict.Timeout, "no endpoint answered in time").WithCause(err), statement.Idle), true
	}
	return statement.Answer{}, false
}

// handleAnswer handles an endpoint's answer and reports whether it is final.
func (w *workItem) handleAnswer(j job, c group.Choice, a statement.Answer, sent time.Time) (statement.Answer, bool) {
	if a.Failure == nil && j.request.Writes && w.acknowledgedDoubtfully(c, a) {
		return w.doubtful(j.request, a), true
	}
	if a.Failure == nil {
		w.recordSuccess(j.request, c, a, sent)
		return a, true
	}
	w.recordFailure(j.request, c, a.Failure, a, sent)
	retry := a.Failure.Verdict == verdict.NotRun && a.Failure.Reason != verdict.Malformed && a.Failure.Reason != verdict.Oversized
	return a, !retry
}

// recordSuccess updates the view of the group after a success: the endpoint's log position, its load, and its lead if
// the statement proved that.
func (w *workItem) recordSuccess(r statement.Request, c group.Choice, a statement.Answer, sent time.Time) {
	d := w.session.dispatcher
	countAttempt("served")
	w.database.RecordServed(c.Endpoint.Name, a.Position, d.now().Sub(sent))
	if c.Lead {
		w.database.RecordLead(c.Endpoint.Name, a.Position, sent)
	}
	if r.Writes {
		w.session.token = w.session.token.With(w.route.Database, a.Position)
	}
}

// recordFailure updates the view of the group after a failed attempt, and logs the failure unless it is overload.
func (w *workItem) recordFailure(r statement.Request, c group.Choice, err error, a statement.Answer, sent time.Time) {
	failure := verdict.From(err)
	d := w.session.dispatcher
	countAttempt(string(failure.Reason))
	w.updateView(c, failure, a, sent)
	if failure.Reason == verdict.Overload {
		return
	}
	d.options.Logger.Log(event.StatementFailed, log.Fields{
		"request": r.ID, "route": w.route.Name, "endpoint": c.Endpoint.Name, "verdict": failure.Verdict.String(),
		"why": string(failure.Reason), "error": failure.Error(), "after": c.After.String(), "applied": a.Position.String(),
		"took": d.now().Sub(sent).String(),
	})
}

// refuse logs and returns the final answer to a statement that was given up without effect.
func (w *workItem) refuse(r statement.Request, failure *verdict.Error) statement.Answer {
	w.returnOperation()
	return w.finish(r, statement.Refusal(failure, statement.Idle))
}

// finish logs the final answer to a statement and returns it.
func (w *workItem) finish(r statement.Request, a statement.Answer) statement.Answer {
	d := w.session.dispatcher
	took := d.now().Sub(w.started)
	fields := log.Fields{
		"request": r.ID, "kind": r.Kind.String(), "route": w.route.Name, "endpoint": w.chosenEndpoint, "choice": w.chosenRule, "tries": w.attempts,
		"took": took.String(), "position": a.Position.String(),
	}
	if w.workspace.Name != "" {
		fields["workspace"] = w.workspace.Name
	}
	if w.chosenAfter != (endpoint.Position{}).String() {
		fields["after"] = w.chosenAfter
	}
	if a.Failure == nil {
		if took > w.targetLatency {
			fields["database"], fields["late"] = w.route.Database, true
		}
		d.options.Logger.Log(event.RequestServed, fields)
		return a
	}
	fields["database"] = w.route.Database
	fields["verdict"], fields["reason"] = a.Failure.Verdict.String(), string(a.Failure.Reason)
	fields["cause"], fields["comeback"] = a.Failure.Error(), a.Failure.RetryAfter.String()
	d.options.Logger.Log(event.RequestRefused, fields)
	return a
}
