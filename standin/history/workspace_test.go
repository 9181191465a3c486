package history

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"siskincove/standin/hosting"
)

// TestCheckWorkspaces guards against a checker that misses a run for the wrong workspace, one after the key was withdrawn, or
// more than an allotment, and against one that reports what is allowed.
func TestCheckWorkspaces(t *testing.T) {
	const limit = time.Second
	grants := []Grant{
		{Key: "b", Workspace: "blue", From: at(0)},
		{Key: "r", Workspace: "red", From: at(0), Until: at(100)},
		{Key: "m", Workspace: "red", From: at(0), Until: at(100)},
		{Key: "m", Workspace: "blue", From: at(90)},
	}
	request := func(id, key string, sent int) Operation {
		o := withCode(write(id, sent, sent+5), "FAILED")
		o.Key = key
		return o
	}
	runFor := func(id, user string, started int) hosting.Run {
		r := run(id, 1, 0)
		r.User, r.Started = user, at(started)
		return r
	}
	many := func(n, apart int, key, user string) History {
		var h History
		for i := range n {
			id := fmt.Sprintf("w%d", i)
			h.Operations = append(h.Operations, request(id, key, i*apart))
			h.Runs = append(h.Runs, runFor(id, user, i*apart+1))
		}
		return h
	}
	one := func(key, user string, sent, started int) History {
		return History{Operations: []Operation{request("w", key, sent)}, Runs: []hosting.Run{runFor("w", user, started)}}
	}
	transaction := History{}
	for i, kind := range []Kind{Begin, TransactionStatement, TransactionStatement, TransactionStatement, TransactionStatement, TransactionStatement, Commit} {
		id := fmt.Sprintf("t%d", i)
		transaction.Operations = append(transaction.Operations, inTransaction(request(id, "b", i), kind))
		transaction.Runs = append(transaction.Runs, runFor(id, "blue", i+1))
	}
	retried := one("b", "blue", 0, 1)
	for i := range 5 {
		retried.Runs = append(retried.Runs, runFor("w", "blue", 2+i))
	}
	tests := map[string]struct {
		history History
		want    string
	}{
		"own workspace":                         {history: one("b", "blue", 10, 11)},
		"other workspace":                       {history: one("b", "red", 10, 11), want: "wrong workspace: w"},
		"name of the proxy":                     {history: one("b", "siskincove", 10, 11), want: "wrong workspace: w"},
		"unknown key":                           {history: one("x", "blue", 10, 11), want: "wrong workspace: w"},
		"sent within the limit of a withdrawal": {history: one("r", "red", 1100, 1101)},
		"sent before the limit, runs later":     {history: one("r", "red", 1100, 5000)},
		"sent after the limit of a withdrawal":  {history: one("r", "red", 1101, 1102), want: "revoked: w"},
		"moved, still the old workspace":        {history: one("m", "red", 500, 501)},
		"moved, the new workspace":              {history: one("m", "blue", 95, 96)},
		"moved, the new workspace too early":    {history: one("m", "blue", 10, 11), want: "wrong workspace: w"},
		"moved, the old workspace too late":     {history: one("m", "red", 2000, 2001), want: "revoked: w"},
		"as many as allowed":                    {history: many(4, 1, "b", "blue")},
		"too many at once":                      {history: many(5, 1, "b", "blue"), want: "allotment: blue ran 5"},
		"too many in a window amid the test":    {history: many(30, 200, "b", "blue"), want: "allotment: blue ran 5"},
		"as many as allowed for long":           {history: many(30, 250, "b", "blue")},
		"transaction is one operation":          {history: transaction},
		"retried request is one operation":      {history: retried},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			// Two a second and a burst of one, with an overage of a third and a tolerance of none, allow four.
			test.history.Workspaces = Workspaces{
				Grants: grants, Allotments: []Allotment{{Workspace: "blue", Rate: 2, Burst: 1}}, RevocationLimit: limit, Window: time.Second, Overage: 0.34,
			}
			got := Check(test.history)
			if test.want == "" && len(got) > 0 || test.want != "" && (len(got) == 0 || !strings.HasPrefix(got[0], test.want)) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
