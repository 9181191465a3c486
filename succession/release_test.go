package succession

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/endpoint"
	"siskincove/statement"
)

// suspendedClock is the system's clock on a machine that was suspended for a while.
type suspendedClock struct {
	clock.System
	suspended atomic.Int64
}

func (c *suspendedClock) Now() time.Time {
	return c.System.Now().Add(time.Duration(c.suspended.Load()))
}

// TestReleaseOfLaterHold guards against the loss of acknowledged commits: RESUME names no term, and a coordinator that sends it late, since its
// process was suspended or its survey is old, ends the hold of a succession that has begun meanwhile.
func TestReleaseOfLaterHold(t *testing.T) {
	const later = planTerm + 1
	succession := func(ctx context.Context, r *runner) { r.releaseHold(ctx, r.members[1]) }
	abandoned := func(ctx context.Context, r *runner) {
		c := r.coordinator
		now := c.options.Clock.Now()
		c.invalidation = invalidation{fence: 9, primary: "p", term: 1, acceptedAt: now, holds: []observedHold{{endpoint: "a", term: planTerm}}}
		held := replicaResult("a", 5)
		held.Status.Term, held.Status.Held = 1, planTerm
		c.releaseAbandoned(ctx, r.database, r.members, Assessment{Primary: "p"}, []ProbeResult{primaryResult("p", 5), held}, now.Add(settlingTime), true)
	}
	tests := map[string]struct {
		release func(ctx context.Context, r *runner)
		// held is the term of the hold, and taken that of the one that another succession takes after the first STATUS.
		held, taken endpoint.FencedTerm
		suspended   time.Duration
		want        endpoint.FencedTerm
	}{
		"in time":                            {release: succession, held: planTerm},
		"suspended, still held":              {release: succession, held: planTerm, suspended: time.Second},
		"suspended, held by another":         {release: succession, held: planTerm, taken: later, suspended: time.Second, want: later},
		"held by another":                    {release: succession, held: later, want: later},
		"abandoned":                          {release: abandoned, held: planTerm},
		"abandoned, held by another":         {release: abandoned, held: later, want: later},
		"abandoned, suspended, by another":   {release: abandoned, held: planTerm, taken: later, suspended: time.Second, want: later},
		"abandoned, suspended, still held":   {release: abandoned, held: planTerm, suspended: time.Second},
		"abandoned, released by another one": {release: abandoned},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			db, members := newGuardedDatabase(t)
			g := &scriptedGroup{endpoints: map[string]endpoint.PlatformStatus{"a": {Role: endpoint.Replica, Term: 1, Held: test.held}}}
			c, ctx := newScriptedCoordinator(t, g)
			clk := &suspendedClock{}
			c.options.Clock, c.prober.clock = clk, clk
			first := true
			g.onAnswer = func(name string, kind statement.Kind) {
				if kind != statement.Status || !first {
					return
				}
				first = false
				clk.suspended.Add(int64(test.suspended))
				if test.taken != 0 {
					g.hold(name, test.taken)
				}
			}
			test.release(ctx, &runner{coordinator: c, database: db, members: members, plan: newPlan()})
			if got := g.status("a").Held; got != test.want {
				t.Errorf("held under %d, want %d", got, test.want)
			}
		})
	}
}
