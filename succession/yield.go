package succession

import (
	"time"

	"siskincove/endpoint"
)

const (
	// oldPrimaryBack is why a succession stops for its old primary.
	oldPrimaryBack = "old primary leads again"
	// yieldTime is how long an old primary that leads again is left alone, so that its succession can stop. A platform that refuses
	// requests answers well within it. assistYieldTime is the same at the other coordinators, which have to be told of the stop.
	yieldTime       = 300 * time.Millisecond
	assistYieldTime = 500 * time.Millisecond
)

// isOldPrimary reports whether a reply shows that the old primary leads again, under its name or another one.
func (p Plan) isOldPrimary(r Reply) bool {
	return !p.hasReplica(r.Endpoint) && r.Status.Role == endpoint.Primary && r.Status.Term <= p.Floor.Term
}

// mayYield reports whether the old primary may go on if it leads again: no request has had an effect or may have one, but for one that is
// under way, whose answer decides. Until then only the holds keep the old primary from acknowledging commits, so these must be
// needed for any commit, and no other promotion may rely on them.
func (s Succession) mayYield() bool {
	requested := s.phase == Promoting || s.phase == Reconfirming
	crashed := s.plan.OldPrimary != "" && !s.plan.OldPrimaryAnswers
	return requested && crashed && !s.accepted && !s.unknown && !s.plan.Contested && s.plan.Acknowledge > 0
}

// yield stops the succession, or awaits the answer to the request under way first.
func (s Succession) yield() (Succession, []Action) {
	s.yielding = true
	if s.inFlight {
		return s, nil
	}
	return s.stop(oldPrimaryBack)
}
