package succession

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskincove/endpoint"
	"siskincove/statement"
)

// refusingPromoter refuses every request.
type refusingPromoter struct{}

func (refusingPromoter) Promote(context.Context, string, string, uint64) error { return ErrRefused }

// TestEndToldBeforeRelease guards against replicas that stay held for seconds, and a primary that can't acknowledge commits: other
// coordinators hold again what they find released while a promotion is outstanding, as far as they have been told.
func TestEndToldBeforeRelease(t *testing.T) {
	db, members := newGuardedDatabase(t)
	replica := endpoint.PlatformStatus{Role: endpoint.Replica, Term: 1, Log: position(9)}
	g := &scriptedGroup{endpoints: map[string]endpoint.PlatformStatus{"a": replica, "b": replica}}
	c, ctx := newScriptedCoordinator(t, g)
	c.options.Promoter = refusingPromoter{}
	plan := newPlan()
	var mu sync.Mutex
	var told, early bool
	c.options.Announce = func(string) {
		mu.Lock()
		defer mu.Unlock()
		told = !db.View().IsOutstanding(plan.Fence, time.Now())
	}
	g.onStep = func(_ string, kind statement.Kind) {
		mu.Lock()
		defer mu.Unlock()
		early = early || kind == statement.Resume && !told
	}
	r := &runner{coordinator: c, database: db, members: members, plan: plan, succession: New(plan)}
	r.run(ctx)
	if g.status("a").Held != 0 || g.status("b").Held != 0 {
		t.Error("the holds were not released")
	}
	if early {
		t.Error("a hold was released before the others were told that the promotion has ended")
	}
}
