package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/connection"
	"siskincove/statement"
	"siskincove/verdict"
)

func (s *Session) commit(ctx context.Context, r statement.Request) statement.Answer {
	switch {
	case s.state == statement.Idle:
		return s.malformed("no transaction is open")
	case s.state == statement.Failed:
		s.Close()
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.Aborted, "transaction had failed and was rolled back"), s.state)
	}
	a := s.commitOpen(ctx, r)
	s.Close()
	return a
}

// commitOpen sends the commit of an open transaction. If the transaction has run no statement yet, an endpoint is chosen
// for the commit alone.
func (s *Session) commitOpen(ctx context.Context, r statement.Request) statement.Answer {
	if s.tx.conn == nil {
		a := s.runFirst(ctx, job{request: r})
		s.tx.release(a.Failure == nil)
		return a
	}
	w := s.tx.nextItem()
	if s.tx.wrote && w.database.IsBeingReplaced(s.tx.choice.Endpoint.Name) {
		return w.finish(r, statement.Refusal(errBeingReplaced(), statement.Idle))
	}
	for {
		sent := s.dispatcher.now()
		setup := s.tx.conn.Setup(s.settings)
		answers, err := s.tx.conn.ExchangeAfter(ctx, w.deadline, setup, statement.Step{Request: r})
		answer := job{request: r}.answer(answers, len(setup))
		if answer == nil || err != nil && len(answers) <= len(setup) {
			return s.handleCommitNoAnswer(w, r, err)
		}
		a := *answer
		if a.Failure == nil && s.tx.wrote && w.acknowledgedDoubtfully(s.tx.choice, a) {
			s.tx.release(true)
			return w.finish(r, w.doubtful(r, a))
		}
		if a.Failure == nil {
			s.recordCommit(w, r, a, sent)
			return w.finish(r, a)
		}
		w.recordFailure(r, s.tx.choice, a.Failure, a, sent)
		if refused := s.waitForSlot(ctx, w, a); refused != nil {
			return w.finish(r, statement.Refusal(refused, statement.Idle))
		}
	}
}

// recordCommit records a successful commit. It proves that the endpoint leads only if the transaction wrote.
func (s *Session) recordCommit(w *workItem, r statement.Request, a statement.Answer, sent time.Time) {
	t := s.tx
	r.Writes = t.wrote
	choice := t.choice
	choice.Lead = t.wrote
	w.recordSuccess(r, choice, a, sent)
	t.release(true)
}

// handleCommitNoAnswer returns the answer to a commit that the endpoint did not answer. If the transaction wrote
// nothing, no effect can have been kept, so it counts as not run.
func (s *Session) handleCommitNoAnswer(w *workItem, r statement.Request, err error) statement.Answer {
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "endpoint did not answer the commit").WithCause(err)
	switch {
	case errors.Is(err, connection.ErrUnsent):
		failure = verdict.New(verdict.NotRun, verdict.Aborted, "connection was lost before the commit").WithCause(err)
	case !s.tx.wrote:
		failure = verdict.New(verdict.NotRun, verdict.Aborted, "connection was lost; the transaction wrote nothing").WithCause(err)
	}
	w.recordFailure(r, s.tx.choice, failure, statement.Answer{}, w.started)
	s.tx.release(false)
	return w.finish(r, statement.Refusal(failure, statement.Idle))
}
