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

// rollbackTimeout bounds a rollback, after which the connection is closed, which rolls back too.
const rollbackTimeout = time.Second

// transaction is an open transaction. It has no endpoint until its first statement, so that beginning one and going
// away costs nothing.
type transaction struct {
	session *Session
	// plain transactions may write, and run at the primary.
	plain bool
	idle  time.Duration
	// work is the first statement's, kept for its route and database; nil before that.
	work   *work
	held   *connection.Held
	pool   *connection.Pool
	choice group.Choice
	since  time.Time
	wrote  bool
	// changed is set when the session's settings changed inside the transaction.
	changed bool
}

func (s *Session) begin(r statement.Request) statement.Answer {
	if s.state != statement.Idle {
		return s.malformed("a transaction is open already")
	}
	_, catalog, refused := s.dispatcher.route(s.name)
	if refused != nil {
		return statement.Refusal(refused, s.state)
	}
	s.tx = &transaction{session: s, plain: r.Kind == statement.Begin, idle: catalog.Idle()}
	s.state = statement.Open
	return statement.Answer{}
}

// inside runs a statement in the open transaction.
func (s *Session) inside(ctx context.Context, j job) statement.Answer {
	if !s.tx.plain && j.request.Writes {
		s.tx.lose("write in a transaction that only reads")
		s.state = statement.Failed
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.ReadOnly, "transaction only reads"), s.state)
	}
	if s.tx.held == nil {
		return s.first(ctx, j)
	}
	return s.later(ctx, j)
}

// first places the transaction at an endpoint with its first statement. Until that has succeeded, the transaction may
// start again elsewhere.
func (s *Session) first(ctx context.Context, j job) statement.Answer {
	w, refused := s.newWork(s.tx.plain)
	if refused != nil {
		return s.failTransaction(statement.Refusal(refused, statement.Failed))
	}
	for {
		choice, refused := w.next(ctx)
		if refused != nil {
			return s.failTransaction(w.refuse(j.request, refused))
		}
		a, final := s.tx.place(ctx, w, j, choice)
		if !final {
			continue
		}
		if a.Failure != nil {
			return s.failTransaction(w.conclude(j.request, a))
		}
		return w.conclude(j.request, a)
	}
}

// place begins the transaction at an endpoint and runs its first statement there.
func (t *transaction) place(ctx context.Context, w *work, j job, c group.Choice) (statement.Answer, bool) {
	asked := t.session.dispatcher.now()
	held, pool, err := w.acquire(ctx, c)
	if err != nil {
		w.failed(j.request, c, err, statement.Answer{}, asked)
		return statement.Answer{}, false
	}
	t.held, t.pool, t.work, t.choice, t.since = held, pool, w, c, t.session.dispatcher.now()
	a, err := t.open(ctx, w, j, c)
	if err != nil {
		// Nothing of a transaction whose commit was not sent is kept.
		failure := verdict.New(verdict.NotRun, verdict.Broken, "connection was lost before the commit").WithCause(err)
		w.failed(j.request, c, failure, statement.Answer{}, t.since)
		t.release(false)
		return statement.Answer{}, false
	}
	if a.Failure == nil {
		w.served(j.request, c, a, t.since)
		t.wrote = j.request.Writes
		held.Rest()
		return a, true
	}
	w.failed(j.request, c, a.Failure, a, t.since)
	t.undo(a.State)
	retry := a.Failure.Verdict == verdict.NotRun && a.Failure.Reason != verdict.Malformed && a.Failure.Reason != verdict.Oversized
	return a, !retry
}

// open begins the transaction on its connection and runs the first statement, which is not sent before that has begun:
// after a refused begin it would run outside of it.
func (t *transaction) open(ctx context.Context, w *work, j job, c group.Choice) (statement.Answer, error) {
	deadline := w.attemptDeadline(true, t.choice)
	steps := append(t.held.Fit(t.session.settings), j.prepare(t.held)...)
	opened, err := t.held.Exchange(ctx, deadline, append(steps, t.opening(c))...)
	if err != nil {
		return statement.Answer{}, err
	}
	if a := opened[len(steps)]; a.Failure != nil {
		return a, nil
	}
	answers, err := t.held.Exchange(ctx, deadline, statement.Step{Request: j.request})
	if err != nil {
		return statement.Answer{}, err
	}
	return answers[0], nil
}

// undo gives the connection back after a first statement that failed.
func (t *transaction) undo(state statement.State) {
	if state == statement.Idle {
		t.release(true)
		return
	}
	t.end()
}

// opening returns the step that begins the transaction. Reads that only the primary may serve are kept inside a
// transaction that may write, since only that is refused by an endpoint which has lost the lead.
func (t *transaction) opening(c group.Choice) statement.Step {
	if t.plain || c.Lead {
		return statement.ProxyStep(statement.Begin)
	}
	step := statement.ProxyStep(statement.BeginRead)
	step.After = c.After
	return step
}

// later runs a statement on the transaction's connection; it waits there for a slot.
func (s *Session) later(ctx context.Context, j job) statement.Answer {
	w := s.tx.again()
	for {
		sent := s.dispatcher.now()
		steps := append(s.tx.held.Fit(s.settings), j.prepare(s.tx.held)...)
		steps = append(steps, statement.Step{Request: j.request})
		answers, err := s.tx.held.Exchange(ctx, w.deadline, steps...)
		if len(answers) < len(steps) {
			return s.lost(w, j.request, err)
		}
		a := answers[len(answers)-1]
		if a.Failure == nil {
			w.served(j.request, s.tx.choice, a, sent)
			s.tx.wrote = s.tx.wrote || j.request.Writes
			s.tx.held.Rest()
			return w.conclude(j.request, a)
		}
		w.failed(j.request, s.tx.choice, a.Failure, a, sent)
		if refused := s.waitForSlot(ctx, w, a); refused != nil {
			return s.failTransaction(w.conclude(j.request, statement.Refusal(refused, statement.Failed)))
		}
	}
}

// again returns the work of a further statement of the transaction.
func (t *transaction) again() *work {
	w := *t.work
	now := t.session.dispatcher.now()
	w.deadline = now.Add(w.deadline.Sub(w.started))
	w.started, w.tries, w.last, w.why = now, 1, nil, "transaction"
	w.pace = w.usual.scaled(paceOpen)
	return &w
}

// waitForSlot pauses before the next try of a statement that found no free slot; it returns the transaction's failure
// when there is none.
func (s *Session) waitForSlot(ctx context.Context, w *work, a statement.Answer) *verdict.Error {
	if a.Failure.Reason != verdict.Overload || a.State != statement.Open {
		return a.Failure
	}
	if w.deadline.Sub(s.dispatcher.now()) < leastTime {
		return verdict.New(verdict.NotRun, verdict.Aborted, "no slot in time; transaction was rolled back").WithAfter(comeBackAfter)
	}
	w.tries++
	return w.pause(ctx, w.takeBackoff(), nil)
}

// lost is the answer to a statement whose transaction's connection ended: nothing of it is kept.
func (s *Session) lost(w *work, r statement.Request, err error) statement.Answer {
	failure := verdict.New(verdict.NotRun, verdict.Aborted, "connection to the endpoint was lost before the commit").WithCause(err)
	w.failed(r, s.tx.choice, failure, statement.Answer{}, w.started)
	s.tx.release(false)
	return s.failTransaction(w.conclude(r, statement.Refusal(failure, statement.Failed)))
}

// failTransaction rolls back and leaves the caller to end the transaction. A failure that had no effect stands for the
// whole transaction.
func (s *Session) failTransaction(a statement.Answer) statement.Answer {
	s.tx.end()
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

// end rolls the transaction back, in the background, and gives its connection back.
func (t *transaction) end() {
	if t.held == nil {
		return
	}
	held, pool, since, changed := t.held, t.pool, t.since, t.changed
	t.held = nil
	d := t.session.dispatcher
	d.running.Go(func() {
		answers, err := held.Exchange(d.ctx, d.now().Add(rollbackTimeout), statement.ProxyStep(statement.Rollback))
		clean := err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle
		if changed {
			held.Doubt()
		}
		pool.Release(held, clean, d.now().Sub(since))
	})
}

// release gives the connection back without a rollback.
func (t *transaction) release(reuse bool) {
	if t.held == nil {
		return
	}
	t.pool.Release(t.held, reuse, t.session.dispatcher.now().Sub(t.since))
	t.held = nil
}

// lose rolls the transaction back for a reason of ours.
func (t *transaction) lose(why string) {
	t.session.dispatcher.options.Logger.Log(event.TransactionEnded, log.Fields{"route": t.session.name, "why": why})
	t.end()
}
