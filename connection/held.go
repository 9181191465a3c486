package connection

import (
	"context"
	"maps"
	"time"

	"siskincove/statement"
)

// preparedMaximum bounds the statements prepared on one connection before they are cleared.
const preparedMaximum = 200

// Held is a connection in the hands of one session, with what is known of its state.
type Held struct {
	Conn
	pool     *Pool
	settings map[string]string
	prepared map[string]bool
	// uncertain is set when the settings may differ from what is known, as after the rollback of a transaction that
	// changed them.
	uncertain bool
	// resting tells that a transaction on the connection awaits its next statement.
	resting bool
	// restSince is when that began, and rested how long the connection has rested since it was taken.
	restSince time.Time
	rested    time.Duration
	// idleSince is when the connection came back to its pool.
	idleSince time.Time
}

// Exchange sends the steps and returns their answers as Conn does; the pool learns from them what the endpoint has places
// for.
func (h *Held) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	h.setResting(false)
	answers, err := h.Conn.Exchange(ctx, deadline, steps...)
	h.pool.observe(answers, err, deadline)
	return answers, err
}

// Rest notes that a transaction on the connection awaits its next statement: until then another connection may be used.
func (h *Held) Rest() { h.setResting(true) }

func (h *Held) setResting(resting bool) {
	if h.resting == resting {
		return
	}
	h.resting = resting
	now := h.pool.options.Clock.Now()
	if resting {
		h.restSince = now
		h.pool.rest(1)
		return
	}
	h.rested += now.Sub(h.restSince)
	h.pool.rest(-1)
}

// Fit returns the steps that make the connection's settings those of a session.
func (h *Held) Fit(settings map[string]string) []statement.Step {
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

// covers reports whether every name of old has a value in wanted, so that nothing has to be cleared.
func covers(wanted, old map[string]string) bool {
	for name := range old {
		if _, ok := wanted[name]; !ok {
			return false
		}
	}
	return true
}

// Prepare returns the step that prepares a statement, none if the connection has it.
func (h *Held) Prepare(name, shape string, writes bool) []statement.Step {
	if h.prepared[name] {
		return nil
	}
	if h.prepared == nil {
		h.prepared = make(map[string]bool)
	}
	h.prepared[name] = true
	return []statement.Step{statement.ProxyPrepare(name, shape, writes)}
}

// Doubt notes that the connection's settings and prepared statements may differ from what is known.
func (h *Held) Doubt() { h.uncertain = true }

func (h *Held) broken() bool {
	select {
	case <-h.Broken():
		return true
	default:
		return false
	}
}
