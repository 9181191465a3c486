package dispatch

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/statement"
	"siskincove/verdict"
)

// checks implements Freshness by the answers to successive checks; the last one is repeated.
type checks []bool

// Check returns the next answer.
func (c *checks) Check() *verdict.Error {
	fresh := (*c)[0]
	if len(*c) > 1 {
		*c = (*c)[1:]
	}
	if fresh {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Unproven, "scripted")
}

// keyedCatalog returns the catalog of these tests with a workspace that holds a key.
func keyedCatalog(key string) *config.Catalog {
	set := catalog().Set
	set.Workspaces = []config.Workspace{{Name: "w", Keys: []config.KeyHash{config.HashKey(key)}}}
	return config.NewCatalog(set)
}

// openKeyed opens a session whose key is "k".
func openKeyed(t *testing.T, scripts map[string][]script) (*Session, *endpoints) {
	t.Helper()
	s, e := open(t, "main", scripts)
	s.key = config.HashKey("k")
	s.dispatcher.options.Catalogs = catalogs{keyedCatalog("k")}
	return s, e
}

// TestUnproven checks which answer a caller with a key gets, and what reaches the endpoint, when the proof that the key is valid is missing
// from the start, while the statement waits, or within a transaction.
func TestUnproven(t *testing.T) {
	busy := map[string][]script{"p": {fail(statement.Write, verdict.Overload, statement.Idle)}}
	refused := outcome{Verdict: "not run", Reason: verdict.Unproven}
	tests := map[string]struct {
		checks  checks
		scripts map[string][]script
		run     []statement.Request
		want    outcome
		sent    []string
	}{
		"proven":                  {checks{true}, nil, []statement.Request{write("1")}, outcome{Receipt: "receipt of 1"}, []string{"p: write 1"}},
		"unproven":                {checks{false}, nil, []statement.Request{write("1")}, refused, nil},
		"unproven after it waits": {checks{true, true, false}, busy, []statement.Request{write("1")}, refused, []string{"p: write 1"}},
		"unproven before the connection is used": {
			checks{true, false}, nil, []statement.Request{write("1")}, refused, nil,
		},
		"unproven in a transaction": {
			checks{true, true, true, false},
			nil,
			[]statement.Request{control(statement.Begin), write("1"), write("2")},
			outcome{Verdict: "not run", Reason: verdict.Unproven, State: statement.Failed},
			[]string{"p: begin ", "p: write 1", "p: rollback "},
		},
		"unproven at the commit": {
			checks{true, true, true, false},
			nil,
			[]statement.Request{control(statement.Begin), write("1"), control(statement.Commit)},
			refused,
			[]string{"p: begin ", "p: write 1", "p: rollback "},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, e := openKeyed(t, test.scripts)
			s.dispatcher.options.Freshness = &test.checks
			var last statement.Answer
			for _, r := range test.run {
				last = s.Run(context.Background(), r)
			}
			s.dispatcher.background.Wait()
			if diff := cmp.Diff(test.want, outcomeOf(last)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.sent, e.sent); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// lateProof is a catalog from which the key was withdrawn. Once it has been looked up, the proof of the next catalog arrives.
type lateProof struct {
	catalog *config.Catalog
	proven  bool
}

// Catalog returns the outdated catalog.
func (l *lateProof) Catalog() *config.Catalog {
	l.proven = true
	return l.catalog
}

// Check returns nil once the proof has arrived.
func (l *lateProof) Check() *verdict.Error {
	if l.proven {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Unproven, "not yet")
}

// TestProofOfAnotherConfiguration guards against a session whose key was found in an outdated configuration and accepted by the proof
// that the next one is the newest, as when the instance is suspended between the two.
func TestProofOfAnotherConfiguration(t *testing.T) {
	s, e := openKeyed(t, nil)
	source := &lateProof{catalog: keyedCatalog("k")}
	s.dispatcher.options.Catalogs, s.dispatcher.options.Freshness = source, source
	s.Run(context.Background(), write("1"))
	if diff := cmp.Diff([]string(nil), e.sent); diff != "" {
		t.Error(diff)
	}
}
