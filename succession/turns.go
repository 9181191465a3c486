package succession

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"siskincove/database"
)

// Turns keeps whose turn it is to request promotions of each database, as far as this process knows. It outlasts the coordinators, which end and
// start again as the instances change.
type Turns struct {
	mu    sync.Mutex
	turns map[string]turn
}

// NewTurns returns Turns of a process that has requested no promotion yet.
func NewTurns() *Turns { return &Turns{turns: make(map[string]turn)} }

// update changes the turn of a database and returns it.
func (t *Turns) update(name string, change func(turn) turn) turn {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := change(t.turns[name])
	t.turns[name] = next
	return next
}

// turn returns the turn with what this instance has been told by now.
func (c *Coordinator) turn(db *database.Database) turn {
	now := c.options.Clock.Now()
	return c.options.Turns.update(c.name, func(t turn) turn { return t.WithPromotions(db.View().Promotions(), now) })
}

// requestPromotion requests a promotion from the platform under a token that this coordinator has begun to use. The first request under it is
// refused without asking the platform if another instance is known to have requested one meanwhile. A repeated one changes nothing: the
// platform carries it out before requests under higher tokens or not at all.
func (c *Coordinator) requestPromotion(ctx context.Context, db *database.Database, endpoint string, fence uint64) error {
	now := c.options.Clock.Now()
	t := c.turn(db)
	before := t.requestedAt(fence)
	if before.IsZero() && (t.BlockedBy(now) != "" || t.Outrun(fence, now)) {
		return errors.Wrap(ErrRefused, "another instance has requested a promotion")
	}
	c.options.Turns.update(c.name, func(t turn) turn { return t.WithRequest(fence, endpoint, now) })
	err := c.options.Promoter.Promote(ctx, c.name, endpoint, fence)
	if errors.Is(err, ErrRefused) || errors.Is(err, ErrBusy) {
		c.options.Turns.update(c.name, func(t turn) turn { return t.WithRequest(fence, endpoint, before) })
	}
	if errors.Is(err, ErrRefused) {
		c.options.Turns.update(c.name, func(t turn) turn { return t.WithRefusal(fence, c.options.Clock.Now()) })
	}
	return err
}

// takeTurn reports whether this coordinator may begin a succession as far as the turns go, and exchanges a stale token before.
func (c *Coordinator) takeTurn(ctx context.Context, db *database.Database, a Assessment) bool {
	t, now := c.turn(db), c.options.Clock.Now()
	why := t.BlockedBy(now)
	if why == "" {
		c.replaceStaleToken(ctx, t)
		if t.Outrun(c.fencingToken, now) {
			why = "another instance has requested a promotion under a higher token"
		}
	}
	if why != "" {
		c.setBlocked(why, a, a.OldPrimary)
	}
	return why == ""
}

// replaceStaleToken reserves another token if the present one is stale, and keeps that if the store does not give one.
func (c *Coordinator) replaceStaleToken(ctx context.Context, t turn) {
	if !t.Stale(c.fencingToken, c.options.Clock.Now()) {
		return
	}
	stale := c.fencingToken
	c.fencingToken = 0
	c.reserveTokenAhead(ctx)
	if c.fencingToken == 0 {
		c.fencingToken = stale
	}
}
