package succession

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
)

// releaseAbandoned releases the holds of abandoned successions, once none of their promotions can take effect any more. probedAt is when the
// survey began; mayRequest is not set while it is another instance's turn to request promotions.
func (c *Coordinator) releaseAbandoned(ctx context.Context, db *database.Database, members []config.Endpoint, a Assessment, results []ProbeResult, probedAt time.Time, mayRequest bool) {
	i := c.invalidation
	next, settled := i.observe(results, probedAt)
	c.invalidation = next
	if i.pending() && !next.pending() {
		c.logInvalidation(event.InvalidationEnded, i, "primary has changed")
	}
	if settled {
		c.invalidation = invalidation{}
		c.logInvalidation(event.InvalidationEnded, i, "settled")
		c.endInvalidated(db, i)
		c.releaseCovered(ctx, members, i, results)
		return
	}
	if len(a.Release) > 0 && !c.invalidation.pending() && mayRequest {
		c.invalidation = c.invalidateOldPromotions(ctx, db, a, results)
	}
}

// invalidateOldPromotions invalidates outstanding promotion requests of abandoned successions. It requests the promotion
// of the endpoint that is already the primary, under a new fencing token, and returns none if the platform did not accept it.
// From then on the platform refuses all lower tokens.
func (c *Coordinator) invalidateOldPromotions(ctx context.Context, db *database.Database, a Assessment, results []ProbeResult) invalidation {
	c.reserveTokenAhead(ctx)
	primary := newestPrimary(results)
	if c.fencingToken == 0 || primary == nil {
		return invalidation{}
	}
	c.replaceStaleToken(ctx, c.turn(db))
	token := c.fencingToken
	c.fencingToken = 0
	c.options.Turns.update(c.name, func(t turn) turn { return t.WithToken(token, 0) })
	announced := c.announceInvalidation(db, primary.Endpoint, token)
	defer func() { <-announced }()
	select {
	case <-announced:
	case <-ctx.Done():
	case <-c.options.Clock.After(announceWait):
	}
	ctx, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	if err := c.requestPromotion(ctx, db, primary.Endpoint, token); err != nil {
		// The others may leave the next request to this coordinator, so the next round must not wait for a proof of the lead to age.
		c.lastSurvey = time.Time{}
		c.options.Logger.Log(event.PromotionRefused, log.Fields{"database": c.name, "endpoint": primary.Endpoint, "fence": token, "error": err.Error()})
		return invalidation{}
	}
	i := invalidation{fence: token, primary: primary.Endpoint, term: primary.Status.Term, acceptedAt: c.options.Clock.Now()}
	for _, r := range results {
		if r.Status != nil && slices.Contains(a.Release, r.Endpoint) {
			i.holds = append(i.holds, observedHold{endpoint: r.Endpoint, term: r.Status.Held})
		}
	}
	c.logInvalidation(event.PromotionsInvalid, i, "accepted")
	return i
}

// logInvalidation logs what has become of an invalidation.
func (c *Coordinator) logInvalidation(what event.Event, i invalidation, outcome string) {
	var holds []string
	for _, h := range i.holds {
		holds = append(holds, fmt.Sprintf("%s=%d", h.endpoint, h.term))
	}
	c.options.Logger.Log(what, log.Fields{
		"database": c.name, "endpoint": i.primary, "fence": i.fence, "term": uint64(i.term), "holds": strings.Join(holds, ","),
		"since": c.options.Clock.Now().Sub(i.acceptedAt).String(), "outcome": outcome,
	})
}

// endInvalidated ends the watches of this coordinator and tells the other instances that the invalidated promotions have ended, before the
// holds are released.
func (c *Coordinator) endInvalidated(db *database.Database, i invalidation) {
	if c.watches != nil && c.watches.guard.plan.Fence < i.fence {
		c.watches.end()
	}
	db.RecordPromotion(group.Promotion{Fence: i.fence, Target: i.primary, Ended: true, Settled: true, At: c.options.Clock.Now()})
	c.options.Announce(c.name)
}

// announceInvalidation tells the other instances that a request for the present primary is about to be made, so that they know who has requested
// last even if it gets no answer. The returned channel is closed when they have been told.
func (c *Coordinator) announceInvalidation(db *database.Database, primary string, token uint64) <-chan struct{} {
	db.RecordPromotion(group.Promotion{Fence: token, Target: primary, Ended: true, At: c.options.Clock.Now()})
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		c.options.Announce(c.name)
	}()
	return announced
}

// releaseCovered releases the holds that an invalidation covers.
func (c *Coordinator) releaseCovered(ctx context.Context, members []config.Endpoint, i invalidation, results []ProbeResult) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, r := range results {
		if at := indexOf(members, r.Endpoint); at >= 0 && !r.Departed && i.covers(r) {
			wait.Go(func() { c.releaseHold(ctx, members[at], r.Status.Held) })
		}
	}
}

// releaseHold lets a replica that is held under a term receive the primary's log again. It tries again while the replica has no free slot.
func (c *Coordinator) releaseHold(ctx context.Context, e config.Endpoint, term endpoint.FencedTerm) {
	for range releaseAttempts {
		result, released := c.prober.resume(ctx, e, term, probeTimeout)
		switch {
		case released:
			c.options.Logger.Log(event.HoldReleased, log.Fields{"database": c.name, "endpoint": e.Name})
			return
		case result.Status != nil && result.Status.Held != term, !result.Answered:
			return
		}
		_ = clock.Wait(ctx, c.options.Clock, targetPollInterval)
	}
}

// reserveTokenAhead reserves a fencing token in advance, so that a succession need not wait for the store. It does nothing
// if one is already reserved or if the last attempt began less than reserveInterval ago.
func (c *Coordinator) reserveTokenAhead(ctx context.Context) {
	now := c.options.Clock.Now()
	if c.fencingToken != 0 || now.Sub(c.lastReservation) < reserveInterval {
		return
	}
	c.lastReservation = now
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	token, err := ReserveFence(ctx, c.options.Rows, c.name)
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			c.options.Logger.Log(event.FenceMissing, log.Fields{"database": c.name, "error": err.Error()})
		}
		return
	}
	c.fencingToken = token
	c.options.Logger.Log(event.FenceReserved, log.Fields{"database": c.name, "fence": token})
}

// termBlockSize is the number of terms in a block. A succession takes the term of its holds from the block after that of the
// highest term it has seen, at an offset given by its fencing token, which no other succession has. A block has a part for
// each of erasPerBlock eras of the store in turn. Fewer than termsPerEra successions of one era see the same highest term, and
// a copy from which the store is restored is only seconds old, so that their terms differ.
const (
	termBlockSize = 1 << 10
	erasPerBlock  = 1 << 2
	termsPerEra   = termBlockSize / erasPerBlock
)

// holdTerm returns a term above highest that no other succession uses for its holds.
func holdTerm(highest endpoint.FencedTerm, fencingToken uint64) endpoint.FencedTerm {
	offset := tokenEra(fencingToken)%erasPerBlock*termsPerEra + tokenNumber(fencingToken)%termsPerEra
	return (highest/termBlockSize+1)*termBlockSize + endpoint.FencedTerm(offset)
}
