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

// settle makes sure that no order of a succession that was left halfway takes effect any more: the platform has seen a
// higher fencing token once it has taken the order to promote the endpoint that leads anyway.
func (c *Coordinator) settle(ctx context.Context, lead string) bool {
	c.reserve(ctx)
	if c.fence == 0 {
		return false
	}
	fence := c.fence
	c.fence = 0
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := c.options.Promoter.Promote(ctx, c.name, lead, fence); err != nil {
		c.options.Logger.Log(event.PromotionRefused, log.Fields{"database": c.name, "endpoint": lead, "fence": fence, "error": err.Error()})
		return false
	}
	return true
}

// release lets a replica receive again and reports whether it does.
func (c *Coordinator) release(ctx context.Context, e config.Endpoint) bool {
	sight := c.probe.ask(ctx, e, statement.Own(statement.Resume), askTimeout)
	if sight.Standing == nil {
		return false
	}
	c.options.Logger.Log(event.HoldReleased, log.Fields{"database": c.name, "endpoint": e.Name})
	return true
}

// reserve keeps a fencing token in stock.
func (c *Coordinator) reserve(ctx context.Context) {
	now := c.options.Clock.Now()
	if c.fence != 0 || now.Sub(c.reserved) < reservePause {
		return
	}
	c.reserved = now
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

// termBlock is by how much the terms of holds grow: it is more than the successions that can see the same newest term,
// so that the fencing token makes their terms differ.
const termBlock = 1 << 10

// holdTerm returns a term above the newest one that no other succession uses for its holds.
func holdTerm(newest endpoint.FencedTerm, fence uint64) endpoint.FencedTerm {
	return (newest/termBlock+1)*termBlock + endpoint.FencedTerm(fence%termBlock)
}
