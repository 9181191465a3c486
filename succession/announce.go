package succession

import "siskincove/group"

// announceRequest tells the other instances that a promotion is requested, so that none sends writes to the old primary until the
// promotion has ended.
func (r *runner) announceRequest() {
	r.database.RecordPromotion(r.promotion())
	r.running.Go(func() { r.coordinator.options.Announce(r.database.Name()) })
}

// recordEnd records that the promotion, if one was requested, has taken effect or can't do so any more.
func (r *runner) recordEnd() {
	if r.promoteUntil.IsZero() || r.succession.guards() {
		return
	}
	p := r.promotion()
	p.Ended = true
	r.database.RecordPromotion(p)
}

// promotion returns the promotion that the succession requests, as of now.
func (r *runner) promotion() group.Promotion {
	return group.Promotion{
		Fence: r.plan.Fence, Term: r.plan.Term, Newest: r.plan.Floor.Term, Replaced: r.plan.OldPrimary, Target: r.succession.Target(),
		At: r.coordinator.options.Clock.Now(),
	}
}
