package connection

import (
	"maps"

	"siskincove/statement"
	"siskincove/verdict"
)

// preparedMaximum bounds the prepared statements on a connection; beyond it the connection is reset.
const preparedMaximum = 200

// sessionState is what the endpoint's answers tell about the settings and prepared statements of a connection. It is immutable.
type sessionState struct {
	settings map[string]string
	prepared map[string]bool
	// uncertain is set when the true state may differ, as after the rollback of a transaction that changed settings.
	uncertain bool
}

// setup returns the steps that give the connection a session's settings and the prepared statements that it lacks. They begin with a
// reset if the state is uncertain, a setting has to be removed or too many statements are prepared.
func (s sessionState) setup(settings map[string]string, statements []statement.Prepared) []statement.Step {
	var steps []statement.Step
	if s.uncertain || len(s.prepared) > preparedMaximum || !covers(settings, s.settings) {
		steps = append(steps, statement.ProxyStep(statement.Reset))
		s = sessionState{}
	}
	for name, value := range settings {
		if known, ok := s.settings[name]; !ok || known != value {
			steps = append(steps, statement.ProxySet(name, value))
		}
	}
	added := make(map[string]bool, len(statements))
	for _, p := range statements {
		if name := p.Name(); !s.prepared[name] && !added[name] {
			added[name] = true
			steps = append(steps, statement.ProxyPrepare(p))
		}
	}
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

// with returns the state after the endpoint's answer to a step.
func (s sessionState) with(step statement.Step, a statement.Answer) sessionState {
	if a.Failure != nil {
		return s.withFailure(step, a.Failure)
	}
	switch step.Kind {
	case statement.Reset:
		return sessionState{}
	case statement.Set:
		s.settings = withEntry(s.settings, step.Name, step.Value)
	case statement.Prepare:
		s.prepared = withEntry(s.prepared, step.Name, true)
	}
	return s
}

// withFailure returns the state after the endpoint failed a step. An endpoint that doesn't know a name that it has acknowledged may
// have lost the settings as well.
func (s sessionState) withFailure(step statement.Step, failure *verdict.Error) sessionState {
	mayHaveRun := failure.Verdict != verdict.NotRun
	switch step.Kind {
	case statement.Reset, statement.Set:
		s.uncertain = s.uncertain || mayHaveRun
	case statement.Prepare:
		s.prepared = withoutEntry(s.prepared, step.Name)
	case statement.Execute:
		if failure.Reason == verdict.Unprepared {
			s.prepared, s.uncertain = withoutEntry(s.prepared, step.Name), true
		}
	}
	return s
}

func withEntry[V any](m map[string]V, name string, value V) map[string]V {
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]V)
	}
	next[name] = value
	return next
}

func withoutEntry[V any](m map[string]V, name string) map[string]V {
	next := maps.Clone(m)
	delete(next, name)
	return next
}
