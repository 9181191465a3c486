package connection

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/statement"
	"siskincove/verdict"
)

// PooledConn is a connection acquired from a Pool by one session, with the known state of that connection.
type PooledConn struct {
	Conn
	pool *Pool
	// workspace is the workspace that the connection was opened for, empty for none.
	workspace string
	// session is the state that sessions left on the connection, and transaction that of its last answer.
	session     sessionState
	transaction statement.State
	// idleInTx is set while a transaction on the connection awaits its next statement.
	idleInTx bool
	// idleInTxSince is when that state began. idleInTxTotal is the time spent in it since the connection was acquired.
	idleInTxSince time.Time
	idleInTxTotal time.Duration
	// idleSince is when the connection was released to its pool.
	idleSince time.Time
}

// Exchange sends the steps and returns their answers as Conn does. The pool adjusts its window to the outcome.
func (h *PooledConn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	answers, err := h.send(ctx, deadline, steps)
	h.record(steps, answers)
	return answers, err
}

// send is Exchange without a record of the answers.
func (h *PooledConn) send(ctx context.Context, deadline time.Time, steps []statement.Step) ([]statement.Answer, error) {
	answers, _, err := h.track(deadline, func() ([]statement.Answer, bool, error) {
		answers, err := h.Conn.Exchange(ctx, deadline, steps...)
		return answers, true, err
	})
	return answers, err
}

// record updates the known state of the connection by the answers to the steps that were sent.
func (h *PooledConn) record(steps []statement.Step, answers []statement.Answer) {
	for i, a := range answers[:min(len(answers), len(steps))] {
		h.session, h.transaction = h.session.with(steps[i], a), a.State
	}
	h.reportFailures(steps, answers)
}

// track runs an exchange and reports it to the pool. The exchange returns false if it sent nothing since the connection does not
// support it.
func (h *PooledConn) track(deadline time.Time, exchange func() ([]statement.Answer, bool, error)) ([]statement.Answer, bool, error) {
	h.setIdleInTx(false)
	ended, sent := false, h.pool.beginExchange()
	defer func() {
		if !ended {
			// After a panic it is not known which answers are still to come.
			h.Close()
			h.pool.forgetExchange(sent)
		}
	}()
	answers, supported, err := exchange()
	ended = true
	if supported {
		h.pool.endExchange(sent, answers, err, deadline)
	} else {
		h.pool.forgetExchange(sent)
	}
	return answers, supported, err
}

// ExchangeGuarded is Exchange of all steps, of which the endpoint gets the ones after the first guard steps only once all of those
// have succeeded. If one failed, the answers may end with the last of them; see NotSent. The error is marked with ErrUnsent if the
// connection was lost before the others were sent.
func (h *PooledConn) ExchangeGuarded(ctx context.Context, deadline time.Time, guard int, steps ...statement.Step) ([]statement.Answer, error) {
	answers, err := h.sendGuarded(ctx, deadline, guard, steps)
	h.record(steps, answers)
	return answers, err
}

func (h *PooledConn) sendGuarded(ctx context.Context, deadline time.Time, guard int, steps []statement.Step) ([]statement.Answer, error) {
	if conn, ok := h.Conn.(GuardedConn); ok {
		answers, supported, err := h.track(deadline, func() ([]statement.Answer, bool, error) {
			return conn.ExchangeGuarded(ctx, deadline, guard, steps...)
		})
		if supported {
			return answers, err
		}
	}
	if guard == 0 {
		return h.send(ctx, deadline, steps)
	}
	answers, err := h.send(ctx, deadline, steps[:guard])
	if err != nil {
		return answers, errors.Mark(err, ErrUnsent)
	}
	if NotSent(answers, guard) != nil {
		return answers, nil
	}
	rest, err := h.send(ctx, deadline, steps[guard:])
	return append(answers, rest...), err
}

// ExchangeAfter exchanges the steps once the setup has succeeded, as ExchangeGuarded does. If the other end is an instance that keeps
// the session's state and waits for it there, all are sent at once.
func (h *PooledConn) ExchangeAfter(ctx context.Context, deadline time.Time, setup []statement.Step, steps ...statement.Step) ([]statement.Answer, error) {
	all := append(setup, steps...)
	if _, ok := h.Conn.(SessionKeeper); ok || len(setup) == 0 {
		return h.Exchange(ctx, deadline, all...)
	}
	return h.ExchangeGuarded(ctx, deadline, len(setup), all...)
}

// NotSent returns the answer to the steps after the first guard steps if one of those failed, and nil if none did. The steps after
// them did not run. The state is that of the connection.
func NotSent(answers []statement.Answer, guard int) *statement.Answer {
	answers = answers[:min(guard, len(answers))]
	for _, a := range answers {
		if a.Failure == nil {
			continue
		}
		last := answers[len(answers)-1]
		failure := a.Failure
		if failure.Verdict != verdict.NotRun {
			failure = verdict.New(verdict.NotRun, failure.Reason, "statement was not sent").WithCause(failure)
		}
		return &statement.Answer{Failure: failure, State: last.State, Position: last.Position}
	}
	return nil
}

// MarkIdleInTransaction records that a transaction on the connection awaits its next statement. Until then the pool may
// use one more connection.
func (h *PooledConn) MarkIdleInTransaction() { h.setIdleInTx(true) }

func (h *PooledConn) setIdleInTx(idle bool) {
	if h.idleInTx == idle {
		return
	}
	h.idleInTx = idle
	now := h.pool.options.Clock.Now()
	if idle {
		h.idleInTxSince = now
		h.pool.addIdleInTx(h.workspace, 1)
		return
	}
	h.idleInTxTotal += now.Sub(h.idleInTxSince)
	h.pool.addIdleInTx(h.workspace, -1)
}

// Setup returns the steps that give the connection a session's settings and the prepared statements that it lacks. They begin with a
// reset if the state is uncertain, a setting has to be removed or too many statements are prepared.
func (h *PooledConn) Setup(settings map[string]string, statements ...statement.Prepared) []statement.Step {
	return h.session.setup(settings, statements)
}

// InTransaction reports whether the last answer left a transaction open, be it failed or not.
func (h *PooledConn) InTransaction() bool { return h.transaction != statement.Idle }

// MarkUncertain records that the connection's settings and prepared statements may differ from the recorded ones.
func (h *PooledConn) MarkUncertain() { h.session.uncertain = true }

func (h *PooledConn) isBroken() bool {
	select {
	case <-h.Broken():
		return true
	default:
		return false
	}
}
