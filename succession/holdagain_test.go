package succession

import (
	"context"
	"testing"
	"time"

	"siskincove/endpoint"
)

// TestHoldEndedByAnother guards against the loss of acknowledged commits: a RESUME that was sent for an older hold arrives late and ends
// the hold on which an outstanding promotion rests, over an unbroken connection. Nobody has told that the promotion has ended.
func TestHoldEndedByAnother(t *testing.T) {
	const oldTerm = 3
	tests := map[string]func(ctx context.Context, c *Coordinator, r *runner, g *scriptedGroup){
		"the coordinator that requested the promotion": func(ctx context.Context, c *Coordinator, r *runner, g *scriptedGroup) {
			r.startWatches(ctx)
			eventually(t, "the watch has seen the hold", func() bool { return c.watches.findings() == "p=no answer/0,a=held/0" })
			g.hold("a", 0)
		},
		"another coordinator": func(ctx context.Context, c *Coordinator, r *runner, g *scriptedGroup) {
			for _, term := range []endpoint.FencedTerm{planTerm, 0} {
				g.hold("a", term)
				status := g.status("a")
				c.assist(ctx, r.database, r.members, []ProbeResult{{Endpoint: "a", Answered: true, Status: &status, Connection: 1}}, time.Now())
			}
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			db, members := newGuardedDatabase(t)
			g := &scriptedGroup{endpoints: map[string]endpoint.PlatformStatus{"a": {Role: endpoint.Replica, Term: oldTerm, Held: planTerm}}}
			c, ctx := newScriptedCoordinator(t, g)
			plan := newPlan()
			plan.Floor.Term = oldTerm
			r := &runner{coordinator: c, database: db, members: members, plan: plan, succession: Succession{plan: plan, phase: Stopped, target: "b", unknown: true}}
			db.RecordPromotion(r.promotion("b"))
			run(ctx, c, r, g)
			eventually(t, "the replica is held again", func() bool { return g.status("a").Held == planTerm })
			if !db.IsBeingReplaced(plan.OldPrimary) {
				t.Error("the promotion counts as ended, though nobody has told so and nothing else leads")
			}
		})
	}
}
