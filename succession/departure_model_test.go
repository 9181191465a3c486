package succession

import (
	"slices"
	"strconv"
	"strings"
	"testing"
)

func (g *simulatedGroup) clone() *simulatedGroup {
	out := *g
	out.members, out.leader, out.departed = nil, nil, slices.Clone(g.departed)
	for _, m := range g.members {
		member := *m
		out.members = append(out.members, &member)
		if m == g.leader {
			out.leader = &member
		}
	}
	return &out
}

// key returns a text that differs for groups that differ.
func (g *simulatedGroup) key() string {
	out := make([]byte, 0, 128)
	number := func(n uint64) { out = append(strconv.AppendUint(out, n, 36), ' ') }
	text := func(s string) { out = append(append(out, s...), ' ') }
	if g.leader != nil {
		text(g.leader.name)
	}
	number(g.commits)
	number(g.term)
	text(g.acknowledged.String())
	text(g.known)
	text(strings.Join(g.departed, ","))
	for _, m := range g.members {
		text(m.name)
		number(m.log)
		number(m.logTerm)
		number(m.term)
		for _, set := range []bool{m.connected, m.registered, m.alive} {
			out = strconv.AppendBool(out, set)
		}
	}
	return string(out)
}

// TestDepartureOrders guards against the loss of commits when endpoints depart after the primary was demoted for a succession that
// ended without a promotion, or led until then. It explores every order of events between two surveys, up to one more commit
// and one promotion by another coordinator.
func TestDepartureOrders(t *testing.T) {
	for name, demoted := range map[string]bool{"primary leads": false, "primary was demoted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := newSimulatedGroup()
			start.commit()
			if demoted {
				start.leader = nil
			}
			start.survey()
			promoted := 0
			states := start.explore(func(g *simulatedGroup) {
				g.survey()
				assessment, counted := g.survey()
				if !assessment.Replace {
					return
				}
				promoted++
				if longest := longestLog(counted); g.acknowledged.Compare(longest) > 0 {
					t.Fatalf("commit %s was acknowledged, the longest counted log ends at %s (%s): %s", g.acknowledged, longest, assessment.Reason, g.key())
				}
			})
			t.Logf("%d states, %d promotions", states, promoted)
			if promoted < states/8 {
				t.Errorf("only %d promotions in %d states", promoted, states)
			}
		})
	}
}

// explore calls check with a copy of the group in every state that events lead to, and returns the number of states.
func (g *simulatedGroup) explore(check func(*simulatedGroup)) int {
	const maxCommits, maxTerm = 2, 2
	seen := map[string]bool{g.key(): true}
	pending := []*simulatedGroup{g}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		check(state.clone())
		for i := range state.members {
			for name := range state.events(state.members[i]) {
				next := state.clone()
				next.events(next.members[i])[name]()
				if next.commits > maxCommits || next.term > maxTerm || len(next.members) > len(g.members) {
					continue
				}
				if key := next.key(); !seen[key] {
					seen[key] = true
					pending = append(pending, next)
				}
			}
		}
	}
	return len(seen)
}
