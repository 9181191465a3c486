package succession

import (
	"context"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/statement"
)

// raiseFence invalidates outstanding promotion requests of abandoned successions. It requests the promotion of the
// endpoint that already leads, under a new fencing token, and reports whether the platform accepted it. From then on the
// platform refuses all lower tokens.
func (c *Coordinator) raiseFence(ctx context.Context, primary string) bool {
	c.reserveFence(ctx)
	if c.fence == 0 {
		return false
	}
	fence := c.fence
	c.fence = 0
	ctx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	if err := c.options.Promoter.Promote(ctx, c.name, primary, fence); err != nil {
		c.options.Logger.Log(event.PromotionRefused, log.Fields{"database": c.name, "endpoint": primary, "fence": fence, "error": err.Error()})
		return false
	}
	return true
}

// releaseHold lets a replica receive the primary's log again and reports whether it returned a status.
func (c *Coordinator) releaseHold(ctx context.Context, e config.Endpoint) bool {
	result := c.prober.query(ctx, e, statement.ProxyStep(statement.Resume), probeTimeout)
	if result.Status == nil {
		return false
	}
	c.options.Logger.Log(event.HoldReleased, log.Fields{"database": c.name, "endpoint": e.Name})
	return true
}

// reserveFence reserves a fencing token in advance, so that a succession need not wait for the store.
func (c *Coordinator) reserveFence(ctx context.Context) {
	now := c.options.Clock.Now()
	if c.fence != 0 || now.Sub(c.lastReservation) < reserveInterval {
		return
	}
	c.lastReservation = now
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	fence, err := ReserveFence(ctx, c.options.Rows, c.name)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			c.options.Logger.Log(event.FenceMissing, log.Fields{"database": c.name, "error": err.Error()})
		}
		return
	}
	c.fence = fence
	c.options.Logger.Log(event.FenceReserved, log.Fields{"database": c.name, "fence": fence})
}

// termBlock is the distance between the hold terms of consecutive successions. It exceeds the number of successions that
// can see the same newest term, so that adding the fencing token modulo termBlock makes their terms differ.
const termBlock = 1 << 10

// holdTerm returns a term above newest that no other succession uses for its holds.
func holdTerm(newest endpoint.FencedTerm, fence uint64) endpoint.FencedTerm {
	return (newest/termBlock+1)*termBlock + endpoint.FencedTerm(fence%termBlock)
}
