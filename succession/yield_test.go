package succession

import (
	"context"
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
)

// TestAssistLeavesToRequester guards against a database that nobody leads, since another coordinator demotes a primary that is back after a
// crash while the one that requested the promotion stops for it; and against leaving a primary alone that may acknowledge commits.
func TestAssistLeavesToRequester(t *testing.T) {
	const oldTerm = 3
	promotion := group.Promotion{Fence: 5, Term: planTerm, Newest: oldTerm, Replaced: "p", Target: "b"}
	heldStatus := &endpoint.PlatformStatus{Role: endpoint.Replica, Term: oldTerm, Held: planTerm}
	tests := map[string]struct {
		replica     *endpoint.PlatformStatus
		acknowledge int
		wait        time.Duration
		other       bool
		// otherName is set if the primary leads under another name, and oldName the status of the endpoint that has its former one.
		otherName bool
		oldName   *endpoint.PlatformStatus
		demoted   bool
	}{
		"the replica is held":              {replica: heldStatus, acknowledge: 1},
		"the requester does not stop":      {replica: heldStatus, acknowledge: 1, wait: assistYieldTime, demoted: true},
		"the hold has ended":               {replica: &endpoint.PlatformStatus{Role: endpoint.Replica, Term: oldTerm}, acknowledge: 1, demoted: true},
		"the replica does not answer":      {acknowledge: 1, demoted: true},
		"commits need no replica":          {replica: heldStatus, demoted: true},
		"another promotion is outstanding": {replica: heldStatus, acknowledge: 1, other: true, demoted: true},
		"it has another name":              {replica: heldStatus, acknowledge: 1, otherName: true},
		"the old name answers too":         {replica: heldStatus, acknowledge: 1, otherName: true, oldName: &endpoint.PlatformStatus{Role: endpoint.Replica, Term: oldTerm}, demoted: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			db, members := newGuardedDatabase(t)
			remote := &leadingEndpoint{term: oldTerm}
			ctx, cancel := context.WithCancel(context.Background())
			o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: remote}
			c := &Coordinator{options: o, name: "db", prober: newProber(ctx, remote, o.Clock), acknowledge: test.acknowledge}
			defer c.prober.close()
			defer cancel()
			now := time.Now()
			promotion := promotion
			promotion.At = now
			db.RecordPromotion(promotion)
			if test.other {
				db.RecordPromotion(group.Promotion{Fence: 4, Target: "a", Replaced: "p", At: now})
			}
			results := []ProbeResult{
				{Endpoint: "p", Answered: true, Status: &endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm, Log: position(9)}, Connection: 1},
				{Endpoint: "a", Answered: test.replica != nil, Status: test.replica, Connection: 1},
				{Endpoint: "b", Answered: true, Status: heldStatus, Connection: 1},
			}
			if test.otherName {
				results[0].Endpoint = "q"
				members = append(members, config.Endpoint{Name: "q", Database: "db", Address: "127.0.0.1:4"})
				results = append(results, ProbeResult{Endpoint: "p", Answered: test.oldName != nil, Status: test.oldName, Connection: 1})
			}
			c.assist(ctx, db, members, results, now)
			time.Sleep(test.wait)
			c.assist(ctx, db, members, results, time.Now())
			if got := remote.demoted(); got != test.demoted {
				t.Errorf("demoted: %t", got)
			}
		})
	}
}

// TestWatchesSpare guards against the same at the coordinator that requested the promotion.
func TestWatchesSpare(t *testing.T) {
	db, members := newGuardedDatabase(t)
	o := Options{Clock: clock.System{}, Logger: event.Discard()}
	plan := newPlan()
	tests := map[string]struct {
		change func(w *watches)
		name   string
		ago    time.Duration
		want   bool
	}{
		"the replica is held":         {name: "p", want: true},
		"another endpoint":            {name: "a"},
		"a request may take effect":   {name: "p", change: func(w *watches) { w.mayYield.Store(false) }},
		"the succession does not end": {name: "p", ago: yieldTime},
		"the replica does not answer": {name: "p", change: func(w *watches) { w.all[1].last.Store(silent) }},
		"a hold had ended":            {name: "p", change: func(w *watches) { w.all[1].ended.Add(1) }},
		"the primary has another name": {name: "q", change: func(w *watches) {
			w.all[0].last.Store(silent)
			w.all = append(w.all, &watch{endpoint: config.Endpoint{Name: "q"}})
		}, want: true},
		"the old name answers too": {name: "q", change: func(w *watches) {
			w.all[0].last.Store(harmless)
			w.all = append(w.all, &watch{endpoint: config.Endpoint{Name: "q"}})
		}},
		"the old name was not seen": {name: "q", change: func(w *watches) {
			w.all[0] = &watch{endpoint: members[0]}
			w.all = append(w.all, &watch{endpoint: config.Endpoint{Name: "q"}})
		}},
		"the replica was not seen": {name: "p", change: func(w *watches) { w.all = append(w.all, &watch{endpoint: config.Endpoint{Name: "c"}}) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := &watches{coordinator: &Coordinator{options: o}, database: db, guard: guard{plan: plan, target: "b"}}
			w.mayYield.Store(true)
			for _, e := range members[:2] {
				w.all = append(w.all, &watch{endpoint: e})
			}
			w.all[0].last.Store(leads)
			w.all[1].last.Store(held)
			if test.change != nil {
				test.change(w)
			}
			if got := w.spares(test.name, time.Now().Add(-test.ago)); got != test.want {
				t.Errorf("spared: %t", got)
			}
		})
	}
}
