package succession

import (
	"context"
	"time"

	"siskincove/group"
)

// announceWait bounds how long a succession waits for the other instances to answer its announcement.
const announceWait = 60 * time.Millisecond

// announceRequest tells the other instances that a promotion is about to be requested, so that none sends writes to the old primary
// until it has ended. They are told before the request, since this process may end at any time after it.
func (r *runner) announceRequest() {
	r.database.RecordPromotion(r.promotion(r.succession.candidate()))
	r.announced = r.announce()
}

// announce tells the other instances what is known of the database's primary and its promotions. The returned channel is closed when
// they have answered.
func (r *runner) announce() <-chan struct{} {
	done := make(chan struct{})
	r.running.Go(func() {
		defer close(done)
		r.coordinator.options.Announce(r.database.Name())
	})
	return done
}

// tellEnd tells the other instances that the promotion has ended, if it has, before the holds are released: they hold replicas again that
// they find released while it is outstanding. They can see by themselves that the target leads, so that the release does not wait then.
func (r *runner) tellEnd(ctx context.Context) {
	if !r.recordEnd() {
		return
	}
	announced := r.announce()
	if r.succession.Phase() != Done {
		r.awaitAnnouncement(ctx, announced)
	}
}

// awaitAnnouncement waits until the other instances have answered the announcement, for up to announceWait. An instance that has answered
// passes on no acknowledgement of the old primary any more, and has told which it passed on before.
func (r *runner) awaitAnnouncement(ctx context.Context, announced <-chan struct{}) {
	select {
	case <-announced:
	case <-ctx.Done():
	case <-r.coordinator.options.Clock.After(announceWait):
	}
}

// shareYield tells the watches whether the succession may stop for its old primary.
func (r *runner) shareYield() {
	// Watches that have nothing to guard any more are about to end and must not demote the old primary before.
	if !r.promoteUntil.IsZero() && r.succession.guards() {
		r.coordinator.watches.mayYield.Store(r.succession.mayYield())
	}
}

// recordEnd records that the promotion, if one was announced, has taken effect or can't do so any more, and reports whether that is news
// for the other instances.
func (r *runner) recordEnd() bool {
	if r.announced == nil || r.succession.guards() {
		return false
	}
	p := r.promotion(r.succession.Target())
	p.Ended, p.Settled = true, r.succession.Phase() == Done
	r.database.RecordPromotion(p)
	return true
}

// promotion returns the promotion of a target that the succession requests, as of now.
func (r *runner) promotion(target string) group.Promotion {
	return group.Promotion{
		Fence: r.plan.Fence, Term: r.plan.Term, Newest: r.plan.Floor.Term, Replaced: r.plan.OldPrimary, Target: target,
		At: r.coordinator.options.Clock.Now(),
	}
}
