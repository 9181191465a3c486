package succession

import (
	"context"
	"slices"
	"time"

	"siskincove/config"
	"siskincove/database"
)

// assistance is what a coordinator remembers of the endpoints that the outstanding promotion of another coordinator concerns.
type assistance struct {
	fence uint64
	// held has the endpoints that were seen to be held.
	held map[string]bool
	// leadsSince is when the old primary was first seen to lead.
	leadsSince time.Time
}

// assists reports whether another coordinator's promotion may be outstanding, which this one guards as well.
func (c *Coordinator) assists(db *database.Database) bool {
	p, outstanding := db.View().OutstandingPromotion(c.options.Clock.Now())
	return outstanding && (c.watches == nil || c.watches.guard.plan.Fence < p.Fence)
}

// assist guards the outstanding promotion of another coordinator, which may be unable to: it demotes a former primary that leads, and
// holds a replica again that was seen to be held, whatever has ended the hold.
func (c *Coordinator) assist(ctx context.Context, db *database.Database, members []config.Endpoint, results []ProbeResult, probedAt time.Time) {
	if !c.assists(db) {
		return
	}
	p, _ := db.View().OutstandingPromotion(c.options.Clock.Now())
	if c.assistance.fence != p.Fence {
		c.assistance = assistance{fence: p.Fence, held: make(map[string]bool)}
	}
	plan := Plan{Term: p.Term, Fence: p.Fence, OldPrimary: p.Replaced, Floor: Floor{Term: p.Newest}}
	for _, e := range members {
		if e.Name != p.Replaced {
			plan.Replicas = append(plan.Replicas, Replica{Name: e.Name})
		}
	}
	w := &watches{coordinator: c, database: db, guard: guard{plan: plan, target: p.Target}, since: p.At}
	if w.settled() || w.guard.succeeded(results) {
		p.Ended, p.Settled, p.At = true, true, c.options.Clock.Now()
		db.RecordPromotion(p)
		return
	}
	for _, r := range results {
		at := indexOf(members, r.Endpoint)
		if at < 0 || r.Status == nil || r.Endpoint == p.Target {
			continue
		}
		found := w.guard.inspect(r.Endpoint, *r.Status)
		if found == held {
			c.assistance.held[r.Endpoint] = true
		}
		if found == leads && c.leavesToRequester(db, w.guard, r, results) {
			continue
		}
		if command, ok := w.guard.command(found); ok && (command == Demote || c.assistance.held[r.Endpoint]) {
			w.log(members[at], found, w.send(ctx, members[at], command), *r.Status, probedAt)
		}
	}
}

// leavesToRequester reports whether an old primary that leads again is left for now to the coordinator that has requested the promotion, which may
// stop for it. That ends as soon as a replica is not seen to be held.
func (c *Coordinator) leavesToRequester(db *database.Database, g guard, leader ProbeResult, results []ProbeResult) bool {
	now := c.options.Clock.Now()
	if _, acknowledge := c.group(); acknowledge == 0 || g.plan.OldPrimary == "" || db.View().IsOtherOutstanding(g.plan.Fence, now) {
		return false
	}
	if c.assistance.leadsSince.IsZero() {
		c.assistance.leadsSince = now
	}
	former := slices.IndexFunc(results, func(r ProbeResult) bool { return r.Endpoint == g.plan.OldPrimary })
	if leader.Endpoint != g.plan.OldPrimary && former >= 0 && results[former].Status != nil {
		return false
	}
	for _, replica := range g.plan.Replicas {
		at := slices.IndexFunc(results, func(r ProbeResult) bool { return r.Endpoint == replica.Name })
		if replica.Name != g.target && replica.Name != leader.Endpoint && (at < 0 || results[at].Status == nil || g.inspect(replica.Name, *results[at].Status) != held) {
			return false
		}
	}
	return now.Sub(c.assistance.leadsSince) < assistYieldTime
}

func indexOf(members []config.Endpoint, name string) int {
	for i, e := range members {
		if e.Name == name {
			return i
		}
	}
	return -1
}
