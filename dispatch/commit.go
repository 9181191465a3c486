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

// commitOpen sends the commit, at an endpoint of its own if the transaction has run nothing.
func (s *Session) commitOpen(ctx context.Context, r statement.Request) statement.Answer {
	if s.tx.held == nil {
		a := s.first(ctx, job{request: r})
		s.tx.release(a.Failure == nil)
		return a
	}
	w := s.tx.again()
	for {
		sent := s.dispatcher.now()
		answers, err := s.tx.held.Exchange(ctx, w.deadline, statement.Step{Request: r})
		if len(answers) == 0 {
			return s.commitUnanswered(w, r, err)
		}
		a := answers[0]
		if a.Failure == nil {
			s.committed(w, r, a, sent)
			return w.conclude(r, a)
		}
		w.failed(r, s.tx.choice, a.Failure, a, sent)
		if refused := s.waitForSlot(ctx, w, a); refused != nil {
			return w.conclude(r, statement.Refusal(refused, statement.Idle))
		}
	}
}

// committed takes in a commit. Only one that wrote proves the lead.
func (s *Session) committed(w *work, r statement.Request, a statement.Answer, sent time.Time) {
	t := s.tx
	r.Writes = t.wrote
	choice := t.choice
	choice.Lead = t.wrote
	w.served(r, choice, a, sent)
	t.release(true)
}

// commitUnanswered is the answer to a commit without an answer. One that wrote nothing has nothing to keep.
func (s *Session) commitUnanswered(w *work, r statement.Request, err error) statement.Answer {
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "endpoint did not answer the commit").WithCause(err)
	switch {
	case errors.Is(err, connection.ErrUnsent):
		failure = verdict.New(verdict.NotRun, verdict.Aborted, "connection was lost before the commit").WithCause(err)
	case !s.tx.wrote:
		failure = verdict.New(verdict.NotRun, verdict.Aborted, "connection was lost; the transaction wrote nothing").WithCause(err)
	}
	w.failed(r, s.tx.choice, failure, statement.Answer{}, w.started)
	s.tx.release(false)
	return w.conclude(r, statement.Refusal(failure, statement.Idle))
}
