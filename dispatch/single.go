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

// single runs a statement outside a transaction.
func (s *Session) single(ctx context.Context, j job) statement.Answer {
	w, refused := s.newWork(j.request.Writes)
	if refused != nil {
		return statement.Refusal(refused, s.state)
	}
	for {
		choice, refused := w.next(ctx)
		if refused != nil {
			return w.refuse(j.request, refused)
		}
		a, final := w.try(ctx, j, choice)
		if final {
			return w.conclude(j.request, a)
		}
	}
}

// try runs the statement at one endpoint and reports whether its answer is the caller's.
func (w *work) try(ctx context.Context, j job, c group.Choice) (statement.Answer, bool) {
	asked := w.session.dispatcher.now()
	held, pool, err := w.acquire(ctx, c)
	if err != nil {
		w.failed(j.request, c, err, statement.Answer{}, asked)
		return statement.Answer{}, false
	}
	sent := w.session.dispatcher.now()
	a, err := w.exchange(ctx, j, c, held)
	pool.Release(held, err == nil, w.session.dispatcher.now().Sub(sent))
	if err != nil && a == nil {
		return w.unanswered(j, c, pool, err, sent)
	}
	return w.answered(j, c, *a, sent)
}

// exchange runs the statement on a connection and returns its answer, nil if there was none. A read that only the
// primary may serve runs inside a transaction of ours, which the endpoint refuses if it has lost the lead. It is not sent
// before that has begun: after a refused begin it would run outside of it.
func (w *work) exchange(ctx context.Context, j job, c group.Choice, held *connection.Held) (*statement.Answer, error) {
	deadline := w.attemptDeadline(!j.request.Writes, c)
	steps := append(held.Fit(w.session.settings), j.prepare(held)...)
	own := len(steps)
	step := statement.Step{Request: j.request}
	if j.request.Writes || !c.Lead {
		step.After = c.After
		answers, err := held.Exchange(ctx, deadline, append(steps, step)...)
		return answerAt(answers, own), err
	}
	opened, err := held.Exchange(ctx, deadline, append(steps, statement.ProxyStep(statement.Begin))...)
	if err != nil {
		return nil, err
	}
	if a := opened[own]; a.Failure != nil {
		return &a, nil
	}
	answers, err := held.Exchange(ctx, deadline, step, statement.ProxyStep(statement.Rollback))
	return answerAt(answers, 0), err
}

func answerAt(answers []statement.Answer, at int) *statement.Answer {
	if at >= len(answers) {
		return nil
	}
	return &answers[at]
}

// prepare returns the step that prepares the statement on a connection, none when it needs none.
func (j job) prepare(held *connection.Held) []statement.Step {
	if j.request.Kind != statement.Execute {
		return nil
	}
	return held.Prepare(j.prepared.shared, j.prepared.shape, j.prepared.writes)
}

func (w *work) acquire(ctx context.Context, c group.Choice) (*connection.Held, *connection.Pool, error) {
	pool, ok := w.database.Pool(c.Endpoint.Name)
	if !ok {
		return nil, nil, verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint has left")
	}
	held, err := pool.Acquire(ctx, w.class, w.deadline, w.session.settings)
	if err == nil && !w.database.Stays(c.Endpoint.Name) {
		// The time that a leaving endpoint gets new work in ended during the wait.
		pool.Release(held, true, 0)
		return nil, nil, verdict.New(verdict.NotRun, verdict.Leaving, "endpoint is leaving")
	}
	return held, pool, err
}

// unanswered decides on a statement whose connection ended before its answer: a read is tried elsewhere, and nobody
// knows what became of a write.
func (w *work) unanswered(j job, c group.Choice, pool *connection.Pool, err error, sent time.Time) (statement.Answer, bool) {
	pool.Discard()
	if errors.Is(err, connection.ErrUnsent) {
		w.failed(j.request, c, verdict.New(verdict.NotRun, verdict.Broken, "connection was lost before the statement").WithCause(err), statement.Answer{}, sent)
		return statement.Answer{}, false
	}
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "endpoint did not answer").WithCause(err)
	w.failed(j.request, c, failure, statement.Answer{}, sent)
	if j.request.Writes {
		return statement.Refusal(failure, statement.Idle), true
	}
	if w.deadline.Sub(w.session.dispatcher.now()) < leastTime {
		return statement.Refusal(verdict.New(verdict.MayHaveRun, verdict.Timeout, "no endpoint answered in time").WithCause(err), statement.Idle), true
	}
	return statement.Answer{}, false
}

// answered decides on an endpoint's answer.
func (w *work) answered(j job, c group.Choice, a statement.Answer, sent time.Time) (statement.Answer, bool) {
	if a.Failure == nil {
		w.served(j.request, c, a, sent)
		return a, true
	}
	w.failed(j.request, c, a.Failure, a, sent)
	retry := a.Failure.Verdict == verdict.NotRun && a.Failure.Reason != verdict.Malformed && a.Failure.Reason != verdict.Oversized
	return a, !retry
}

// served takes in what a success tells: the endpoint's log, its load, and its lead if it proved that.
func (w *work) served(r statement.Request, c group.Choice, a statement.Answer, sent time.Time) {
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

// failed takes in and logs that an endpoint did not serve the statement.
func (w *work) failed(r statement.Request, c group.Choice, err error, a statement.Answer, sent time.Time) {
	failure := verdict.From(err)
	d := w.session.dispatcher
	countAttempt(string(failure.Reason))
	w.learn(c, failure, a, sent)
	if failure.Reason == verdict.Overload {
		return
	}
	d.options.Logger.Log(event.StatementFailed, log.Fields{
		"request": r.ID, "route": w.route.Name, "endpoint": c.Endpoint.Name, "verdict": failure.Verdict.String(),
		"why": string(failure.Reason), "error": failure.Error(), "after": c.After.String(), "applied": a.Position.String(),
		"took": d.now().Sub(sent).String(),
	})
}

// refuse is the final answer to a statement that was given up without effect.
func (w *work) refuse(r statement.Request, failure *verdict.Error) statement.Answer {
	return w.conclude(r, statement.Refusal(failure, statement.Idle))
}

// conclude logs the final answer to a statement.
func (w *work) conclude(r statement.Request, a statement.Answer) statement.Answer {
	d := w.session.dispatcher
	fields := log.Fields{
		"request": r.ID, "kind": r.Kind.String(), "route": w.route.Name, "endpoint": w.placed, "choice": w.why, "tries": w.tries,
		"took": d.now().Sub(w.started).String(), "position": a.Position.String(),
	}
	if w.after != (endpoint.Position{}).String() {
		fields["after"] = w.after
	}
	if a.Failure == nil {
		d.options.Logger.Log(event.RequestServed, fields)
		return a
	}
	fields["database"] = w.route.Database
	fields["verdict"], fields["reason"] = a.Failure.Verdict.String(), string(a.Failure.Reason)
	fields["cause"], fields["comeback"] = a.Failure.Error(), a.Failure.After.String()
	d.options.Logger.Log(event.RequestRefused, fields)
	return a
}
