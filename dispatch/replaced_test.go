package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

// TestPrimaryBeingReplaced guards against the loss of acknowledged commits (issue 47): a primary that has returned acknowledges a commit while
// the promotion of another endpoint is outstanding, whose log lacks it.
func TestPrimaryBeingReplaced(t *testing.T) {
	begun := []statement.Request{control(statement.Begin), write("1")}
	tests := map[string]struct {
		before, after []statement.Request
		// during is set if the promotion is requested while the last of after runs.
		during bool
		want   outcome
		sent   []string
	}{
		"write":                 {after: []statement.Request{write("1")}, want: outcome{Verdict: "not run", Reason: verdict.Unreachable}},
		"read":                  {after: []statement.Request{read("1")}, want: outcome{Receipt: "receipt of 1"}, sent: []string{"p: begin ", "p: read 1", "p: rollback "}},
		"commit of a write":     {before: begun, after: []statement.Request{control(statement.Commit)}, want: outcome{Verdict: "not run", Reason: verdict.Aborted}, sent: []string{"p: begin ", "p: write 1"}},
		"commit of a read":      {before: []statement.Request{control(statement.Begin), read("1")}, after: []statement.Request{control(statement.Commit)}, want: outcome{Receipt: "receipt of q"}, sent: []string{"p: begin ", "p: read 1", "p: commit q"}},
		"write, while it runs":  {after: []statement.Request{write("1")}, during: true, want: outcome{Verdict: "may have run", Reason: verdict.Broken}, sent: []string{"p: write 1"}},
		"commit, while it runs": {before: begun, after: []statement.Request{control(statement.Commit)}, during: true, want: outcome{Verdict: "may have run", Reason: verdict.Broken}, sent: []string{"p: begin ", "p: write 1", "p: commit q"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scripts := make(map[string][]script)
			s, e := open(t, "main", scripts)
			db, _ := s.dispatcher.options.Databases.Get("db")
			request := func() {
				db.RecordPromotion(group.Promotion{Fence: 1, Replaced: "p", Target: "r", At: time.Now()})
			}
			for _, r := range test.before {
				s.Run(context.Background(), r)
			}
			if test.during {
				e.scripts["p"] = []script{func(steps []statement.Step) ([]statement.Answer, error) {
					request()
					return succeed(steps)
				}}
			} else {
				request()
			}
			var got statement.Answer
			for _, r := range test.after {
				got = s.Run(context.Background(), r)
			}
			if diff := cmp.Diff(test.want, outcomeOf(got)); diff != "" {
				t.Error(diff)
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if len(e.sent) > len(test.sent) && e.sent[len(test.sent)] == "p: rollback " {
				e.sent = e.sent[:len(test.sent)]
			}
			if diff := cmp.Diff(test.sent, e.sent); diff != "" {
				t.Error(diff)
			}
		})
	}
}
