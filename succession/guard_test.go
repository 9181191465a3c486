package succession

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

// TestGuard guards against commits that endpoints acknowledge which return while a promotion is outstanding, and against demoting the
// endpoint that another succession has promoted.
func TestGuard(t *testing.T) {
	const oldTerm = 3
	plan := newPlan()
	plan.Floor.Term = oldTerm
	s := New(plan)
	for _, e := range []Event{heldReply("a", 5, planTerm), heldReply("b", 9, planTerm), confirmReply("a", 5), confirmReply("b", 9)} {
		s, _ = s.Handle(e)
	}
	type result struct {
		Finding finding
		Command Command
		Acts    bool
	}
	tests := map[string]struct {
		name   string
		status endpoint.PlatformStatus
		want   result
	}{
		"held":                             {name: "a", status: endpoint.PlatformStatus{Held: planTerm}, want: result{Finding: held}},
		"held by a later succession":       {name: "a", status: endpoint.PlatformStatus{Held: planTerm + 1}, want: result{Finding: held}},
		"hold has ended":                   {name: "a", want: result{Finding: holdEnded, Command: Hold, Acts: true}},
		"held by an earlier succession":    {name: "a", status: endpoint.PlatformStatus{Held: planTerm - 1}, want: result{Finding: holdEnded, Command: Hold, Acts: true}},
		"old primary returns":              {name: "p", status: endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm}, want: result{Finding: leads, Command: Demote, Acts: true}},
		"old primary is a replica":         {name: "p", want: result{Finding: harmless}},
		"replica was promoted by another":  {name: "a", status: endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm + 1}, want: result{Finding: succeeded}},
		"old primary leads a newer term":   {name: "p", status: endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm + 1}, want: result{Finding: harmless}},
		"unknown endpoint leads old term":  {name: "q", status: endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm}, want: result{Finding: leads, Command: Demote, Acts: true}},
		"replica leads under the old term": {name: "a", status: endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm}, want: result{Finding: leads, Command: Demote, Acts: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.status.Role != endpoint.Primary {
				test.status.Role = endpoint.Replica
			}
			g := s.guard()
			got := result{Finding: g.inspect(test.name, test.status)}
			got.Command, got.Acts = g.command(got.Finding)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
