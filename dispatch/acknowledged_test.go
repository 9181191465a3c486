package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

// TestRecordsAcknowledged guards against a succession that promotes a log shorter than what callers were told (issue 53): what this
// instance passed on as acknowledged was not known. Reads and statements inside a transaction don't count, as the endpoint's log may
// end in records that are not acknowledged then.
func TestRecordsAcknowledged(t *testing.T) {
	prepare := statement.Request{ID: "s", Kind: statement.Prepare, Name: "s1", Value: "shape", Writes: true}
	run := statement.Request{ID: "1", Kind: statement.Execute, Name: "s1"}
	begin, commit := control(statement.Begin), control(statement.Commit)
	// failed is final, unlike a failure without effect, after which the write is tried again.
	failed := func(steps []statement.Step) ([]statement.Answer, error) {
		out, _ := succeed(steps)
		out[len(out)-1].Failure = verdict.New(verdict.MayHaveRun, verdict.Failed, "scripted")
		return out, nil
	}
	tests := map[string]struct {
		route    string
		script   script
		requests []statement.Request
		// replaced is set if the promotion of another endpoint is requested while the last request runs.
		replaced bool
		want     endpoint.Position
	}{
		"write":                        {requests: []statement.Request{write("1")}, want: position},
		"prepared write":               {requests: []statement.Request{prepare, run}, want: position},
		"commit of a write":            {requests: []statement.Request{begin, write("1"), commit}, want: position},
		"commit of a write and a read": {requests: []statement.Request{begin, write("1"), read("2"), commit}, want: position},
		"read":                         {requests: []statement.Request{read("1")}},
		"read at a replica":            {route: "history", requests: []statement.Request{read("1")}},
		"write in a transaction":       {requests: []statement.Request{begin, write("1")}},
		"several in a transaction":     {requests: []statement.Request{begin, read("1"), write("2"), write("3")}},
		"rollback of a write":          {requests: []statement.Request{begin, write("1"), control(statement.Rollback)}},
		"commit of a read":             {requests: []statement.Request{begin, read("1"), commit}},
		"commit of nothing":            {requests: []statement.Request{begin, commit}},
		"write that was refused":       {script: failed, requests: []statement.Request{write("1")}},
		"commit that was refused":      {script: failed, requests: []statement.Request{begin, write("1"), commit}},
		"write without an answer":      {script: cut, requests: []statement.Request{write("1")}},
		// Recorded before it is known that the endpoint is being replaced: an announcement between the two finds either.
		"write, while the primary is replaced":  {requests: []statement.Request{write("1")}, replaced: true, want: position},
		"commit, while the primary is replaced": {requests: []statement.Request{begin, write("1"), commit}, replaced: true, want: position},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			route := test.route
			if route == "" {
				route = "main"
			}
			s, e := open(t, route, make(map[string][]script))
			db, _ := s.dispatcher.options.Databases.Get("db")
			for n, r := range test.requests {
				if n == len(test.requests)-1 {
					last := test.script
					if test.replaced {
						last = func(steps []statement.Step) ([]statement.Answer, error) {
							db.RecordPromotion(group.Promotion{Fence: 1, Replaced: "p", Target: "r", At: time.Now()})
							return succeed(steps)
						}
					}
					e.mu.Lock()
					e.scripts["p"] = []script{last}
					e.mu.Unlock()
				}
				s.Run(context.Background(), r)
			}
			if diff := cmp.Diff(test.want, db.View().Acknowledged(time.Now())); diff != "" {
				t.Error(diff)
			}
		})
	}
}
