package succession

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
	"siskincove/event"
)

// TestInvalidation guards against holds that are released while a promotion may still take effect which the platform had accepted before
// it accepted the invalidation.
func TestInvalidation(t *testing.T) {
	const term = 3
	acceptedAt := time.Unix(1000, 0)
	held := replicaResult("a", 5)
	held.Status.Held = planTerm
	primary := func(name string, term endpoint.FencedTerm) ProbeResult {
		r := primaryResult(name, 5)
		r.Status.Term = term
		return r
	}
	knows := func(name string, term endpoint.FencedTerm) ProbeResult {
		r := replicaResult(name, 5)
		r.Status.Term = term
		return r
	}
	type result struct{ Pending, Settled bool }
	tests := map[string]struct {
		results []ProbeResult
		after   time.Duration
		want    result
	}{
		"too early":                        {results: []ProbeResult{primary("p", term), held}, after: settlingTime - time.Millisecond, want: result{Pending: true}},
		"still leads":                      {results: []ProbeResult{primary("p", term), held}, after: settlingTime, want: result{Pending: true, Settled: true}},
		"no answer":                        {results: []ProbeResult{{Endpoint: "p"}, held}, after: settlingTime, want: result{Pending: true}},
		"answers again later":              {results: []ProbeResult{primary("p", term), {Endpoint: "a"}}, after: time.Minute, want: result{Pending: true, Settled: true}},
		"leads under a newer term":         {results: []ProbeResult{primary("p", term+1), held}, after: settlingTime},
		"another leads under a newer term": {results: []ProbeResult{primary("p", term), primary("a", term+1)}, after: settlingTime},
		"a replica knows a newer term":     {results: []ProbeResult{primary("p", term), knows("a", term+1)}, after: settlingTime},
		"a newer term before the time":     {results: []ProbeResult{{Endpoint: "p"}, primary("a", term+1)}, after: time.Millisecond},
		"was demoted":                      {results: []ProbeResult{replicaResult("p", 5), held}, after: time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := invalidation{fence: 9, primary: "p", term: term, acceptedAt: acceptedAt, holds: []observedHold{{endpoint: "a", term: planTerm}}}
			next, settled := i.observe(test.results, acceptedAt.Add(test.after))
			if diff := cmp.Diff(test.want, result{Pending: next.pending(), Settled: settled}); diff != "" {
				t.Error(diff)
			}
			if _, settled := (invalidation{}).observe(test.results, acceptedAt.Add(test.after)); settled {
				t.Error("none has settled")
			}
		})
	}
}

// countingPromoter accepts every request and counts them.
type countingPromoter struct{ requests int }

func (p *countingPromoter) Promote(context.Context, string, string, uint64) error {
	p.requests++
	return nil
}

// TestReleaseAbandoned guards against holds that are released, and promotions that are told to have ended, while one that the platform had accepted
// before the invalidation may still take effect, against an invalidation in each round meanwhile, and against the release of a hold that
// was taken after it.
func TestReleaseAbandoned(t *testing.T) {
	const term, later = 3, planTerm + 1
	db, members := newGuardedDatabase(t)
	g := &scriptedGroup{endpoints: map[string]endpoint.PlatformStatus{
		"p": {Role: endpoint.Primary, Term: term}, "a": {Role: endpoint.Replica, Term: term, Held: planTerm}, "b": {Role: endpoint.Replica, Term: term, Held: planTerm},
	}}
	c, ctx := newScriptedCoordinator(t, g)
	promoter := &countingPromoter{}
	c.options.Promoter, c.fencingToken = promoter, 9
	plan := newPlan()
	r := &runner{coordinator: c, database: db, members: members, plan: plan}
	db.RecordPromotion(r.promotion("b"))
	round := func(after time.Duration) {
		var results []ProbeResult
		for _, e := range members {
			status := g.status(e.Name)
			results = append(results, ProbeResult{Endpoint: e.Name, Answered: true, Status: &status})
		}
		c.lastReservation = time.Now()
		c.releaseAbandoned(ctx, db, members, Assessment{Primary: "p", Release: []string{"a", "b"}}, results, time.Now().Add(after), true)
	}
	for _, after := range []time.Duration{0, settlingTime / 2, settlingTime - 100*time.Millisecond} {
		round(after)
		c.fencingToken = 10
		if g.status("a").Held != planTerm || !db.IsBeingReplaced("p") {
			t.Fatalf("holds were released or the end was told %s after the invalidation", after)
		}
	}
	g.hold("b", later)
	round(settlingTime + 100*time.Millisecond)
	if promoter.requests != 1 {
		t.Errorf("%d requests", promoter.requests)
	}
	if g.status("a").Held != 0 || db.IsBeingReplaced("p") {
		t.Error("the hold was not released, or the end not told")
	}
	if got := g.status("b").Held; got != later {
		t.Errorf("hold of a later succession is %d", got)
	}
}

// TestInvalidationLogged guards against an incident whose logs can't tell why holds were released (issue 53): neither the acceptance of an
// invalidation nor its end was logged.
func TestInvalidationLogged(t *testing.T) {
	const term = 3
	tests := map[string]struct {
		primary endpoint.PlatformStatus
		want    []string
	}{
		"settled":             {primary: endpoint.PlatformStatus{Role: endpoint.Primary, Term: term}, want: []string{"accepted", "settled"}},
		"a newer term":        {primary: endpoint.PlatformStatus{Role: endpoint.Primary, Term: term + 1}, want: []string{"accepted", "primary has changed"}},
		"the primary is gone": {primary: endpoint.PlatformStatus{Role: endpoint.Replica, Term: term}, want: []string{"accepted", "primary has changed"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			db, members := newGuardedDatabase(t)
			g := &scriptedGroup{endpoints: map[string]endpoint.PlatformStatus{"a": {Role: endpoint.Replica, Term: term, Held: planTerm}}}
			c, ctx := newScriptedCoordinator(t, g)
			c.options.Promoter, c.fencingToken = &countingPromoter{}, 9
			var got []string
			c.options.Logger = event.NewLogger(log.HandlerFunc(func(e *log.Entry) error {
				if outcome, ok := e.Fields.Get("outcome").(string); ok && e.Fields.Get("fence") == uint64(9) {
					got = append(got, outcome)
				}
				return nil
			}), log.InfoLevel, c.options.Clock)
			held := ProbeResult{Endpoint: "a", Answered: true, Status: &endpoint.PlatformStatus{Role: endpoint.Replica, Term: term, Held: planTerm}}
			before := ProbeResult{Endpoint: "p", Answered: true, Status: &endpoint.PlatformStatus{Role: endpoint.Primary, Term: term}}
			release := Assessment{Primary: "p", Release: []string{"a"}}
			c.releaseAbandoned(ctx, db, members, release, []ProbeResult{before, held}, time.Now(), true)
			after := ProbeResult{Endpoint: "p", Answered: true, Status: &test.primary}
			c.releaseAbandoned(ctx, db, members, Assessment{Primary: "p"}, []ProbeResult{after, held}, time.Now().Add(settlingTime+time.Second), true)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
