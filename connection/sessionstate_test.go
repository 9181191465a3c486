package connection

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// TestRecordedState guards against a connection that is recorded to have settings or prepared statements which the endpoint, after a
// failed SET, RESET or PREPARE, does not have.
func TestRecordedState(t *testing.T) {
	const refused, failedWithEffect, failedWithout, lostNames = "refused", "failed with effect", "failed without effect", "lost names"
	reactions := rapid.SampledFrom([]string{"runs", "runs", "runs", refused, failedWithEffect, failedWithout, lostNames})
	values := rapid.MapOf(rapid.SampledFrom([]string{"lab", "zone"}), rapid.SampledFrom([]string{"1", "2"}))
	texts := rapid.SampledFrom([]string{"shape 1", "shape 2", "shape 3"})
	rapid.Check(t, func(t *rapid.T) {
		var recorded sessionState
		settings, prepared := map[string]string{}, map[string]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "statements") {
			wanted, needed := values.Draw(t, "settings"), statement.NewPrepared(texts.Draw(t, "text"), false)
			name := needed.Name()
			steps := append(recorded.setup(wanted, []statement.Prepared{needed}),
				statement.Step{Request: statement.Request{ID: "q", Kind: statement.Execute, Name: name}})
			for _, s := range steps {
				reaction := reactions.Draw(t, s.Kind.String())
				if reaction == lostNames && s.Kind == statement.Execute {
					clear(prepared)
				}
				a := statement.Answer{}
				switch reaction {
				case refused:
					a.Failure = verdict.New(verdict.NotRun, verdict.Overload, "busy")
				case failedWithEffect, failedWithout:
					a.Failure = verdict.New(verdict.Ran, verdict.Failed, "failed")
				}
				if reaction != refused && reaction != failedWithout {
					switch s.Kind {
					case statement.Reset:
						settings, prepared = map[string]string{}, map[string]bool{}
					case statement.Set:
						settings[s.Name] = s.Value
					case statement.Prepare:
						prepared[s.Name] = true
					}
				}
				if s.Kind == statement.Execute && reaction != refused && !prepared[s.Name] {
					a.Failure = verdict.New(verdict.NotRun, verdict.Unprepared, "no such name")
				}
				if s.Kind == statement.Execute && a.Failure == nil && !maps.Equal(settings, wanted) {
					t.Fatalf("statement ran with %v, want %v", settings, wanted)
				}
				recorded = recorded.with(s, a)
				if !recorded.uncertain && !maps.Equal(settings, recorded.settings) {
					t.Fatalf("recorded %v after %s, the endpoint has %v", recorded.settings, s.Kind, settings)
				}
				if a.Failure != nil {
					// What follows is not sent.
					break
				}
			}
			if recorded.prepared[name] && !recorded.uncertain && !prepared[name] {
				t.Fatalf("%s is recorded as prepared, but the endpoint does not know it", name)
			}
		}
	})
}

// TestReleaseInTransaction guards against a connection that goes back to its pool with a transaction still open, because the failure
// of the proxy's rollback was not noticed.
func TestReleaseInTransaction(t *testing.T) {
	tests := map[string]struct {
		state statement.State
		idle  int
	}{
		"idle": {statement.Idle, 1}, "open": {statement.Open, 0}, "failed": {statement.Failed, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := &fixedEndpoint{answer: statement.Answer{State: test.state}}
			p := New(Options{Dialer: e, Clock: clock.System{}, Logger: event.Discard(), Limit: 2}).withFullWindow()
			h := p.mustAcquire(t, nil)
			if _, err := h.Exchange(t.Context(), time.Now().Add(time.Second), statement.ProxyStep(statement.Rollback)); err != nil {
				t.Fatal(err)
			}
			p.Release(h, true, 0)
			if idle := len(p.idle); idle != test.idle {
				t.Errorf("%d idle connections, want %d", idle, test.idle)
			}
		})
	}
}
