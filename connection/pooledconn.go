package connection

import (
	"context"
	"maps"
	"time"

	"siskincove/statement"
)

// preparedMaximum bounds the prepared statements on a connection; beyond it the connection is reset.
const preparedMaximum = 200

// PooledConn is a connection acquired from a Pool by one session, with the known state of that connection.
type PooledConn struct {
	Conn
	pool *Pool
	// workspace is the workspace that the connection was opened for, empty for none.
	workspace string
	settings  map[string]string
	prepared  map[string]bool
	// uncertain is set when the settings may differ from the recorded ones, as after the rollback of a transaction that
	// changed them.
	uncertain bool
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
	answers, _, err := h.track(deadline, func() ([]statement.Answer, bool, error) {
		answers, err := h.Conn.Exchange(ctx, deadline, steps...)
		return answers, true, err
	})
	h.reportFailures(steps, answers)
	return answers, err
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

// ExchangeGuarded is Exchange of all steps, of which the endpoint gets the ones after the first guard steps only once the last of
// those has succeeded. If it failed, the answers may end with it.
func (h *PooledConn) ExchangeGuarded(ctx context.Context, deadline time.Time, guard int, steps ...statement.Step) ([]statement.Answer, error) {
	if conn, ok := h.Conn.(GuardedConn); ok {
		answers, supported, err := h.track(deadline, func() ([]statement.Answer, bool, error) {
			return conn.ExchangeGuarded(ctx, deadline, guard, steps...)
		})
		if supported {
			h.reportFailures(steps, answers)
			return answers, err
		}
	}
	answers, err := h.Exchange(ctx, deadline, steps[:guard]...)
	if err != nil || answers[guard-1].Failure != nil {
		return answers, err
	}
	rest, err := h.Exchange(ctx, deadline, steps[guard:]...)
	return append(answers, rest...), err
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

// SyncSettings returns the steps that change the connection's settings to those of a session, and records the new
// settings. The steps begin with a reset if the state is uncertain, a setting has to be removed or the connection has too
// many prepared statements.
func (h *PooledConn) SyncSettings(settings map[string]string) []statement.Step {
	var steps []statement.Step
	if h.uncertain || len(h.prepared) > preparedMaximum || !covers(settings, h.settings) {
		steps = append(steps, statement.ProxyStep(statement.Reset))
		h.settings, h.prepared, h.uncertain = nil, nil, false
	}
	if maps.Equal(h.settings, settings) {
		return steps
	}
	for name, value := range settings {
		if known, ok := h.settings[name]; !ok || known != value {
			steps = append(steps, statement.ProxySet(name, value))
		}
	}
	h.settings = maps.Clone(settings)
	return steps
}

// covers reports whether every name in old is also in wanted, so that the connection needs no reset.
func covers(wanted, old map[string]string) bool {
	for name := range old {
		if _, ok := wanted[name]; !ok {
			return false
		}
	}
	return true
}

// Prepare returns the step that prepares a statement, or none if it is prepared on the connection already.
func (h *PooledConn) Prepare(name, text string, writes bool) []statement.Step {
	if h.prepared[name] {
		return nil
	}
	if h.prepared == nil {
		h.prepared = make(map[string]bool)
	}
	h.prepared[name] = true
	return []statement.Step{statement.ProxyPrepare(name, text, writes)}
}

// MarkUncertain records that the connection's settings and prepared statements may differ from the recorded ones.
func (h *PooledConn) MarkUncertain() { h.uncertain = true }

func (h *PooledConn) isBroken() bool {
	select {
	case <-h.Broken():
		return true
	default:
		return false
	}
}
