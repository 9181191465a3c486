package succession

import (
	"slices"
	"time"

	"siskincove/endpoint"
)

// settlingTime is how long after an invalidation a promotion that the platform had accepted before may still take effect. It is
// longer than the platform takes for a promotion, some hundred ms.
const settlingTime = 1500 * time.Millisecond

// invalidation is a promotion request for the endpoint that led already, which the platform has accepted; it is an immutable value, and
// its zero value is none. The platform refuses all lower fencing tokens from then on, but a promotion that it had accepted just before
// still takes effect. None has done so if the same endpoint still leads under the same term after settlingTime.
type invalidation struct {
	// fence is the fencing token of the request.
	fence uint64
	// primary is the endpoint that led, and term the one under which it did before the request.
	primary    string
	term       endpoint.FencedTerm
	acceptedAt time.Time
	// holds are those that counted as abandoned before the request.
	holds []observedHold
}

// pending reports whether the invalidation has still to settle.
func (i invalidation) pending() bool { return i.fence != 0 }

// observe returns the invalidation after a survey that began at a time, and whether it has settled. It returns none if the endpoint
// no longer leads or a newer term is known: then a promotion may have taken effect, and another invalidation has to be requested.
func (i invalidation) observe(results []ProbeResult, at time.Time) (invalidation, bool) {
	leads := false
	for _, r := range results {
		switch {
		case r.Status == nil:
		case r.Status.Term > i.term:
			return invalidation{}, false
		case r.Endpoint == i.primary && r.Status.Role != endpoint.Primary:
			return invalidation{}, false
		case r.Endpoint == i.primary:
			leads = true
		}
	}
	return i, i.pending() && leads && at.Sub(i.acceptedAt) >= settlingTime
}

// covers reports whether an endpoint's hold is one of those that counted as abandoned before the request. A later hold may belong to a
// promotion that the invalidation does not prevent.
func (i invalidation) covers(r ProbeResult) bool {
	return r.Status != nil && slices.ContainsFunc(i.holds, func(h observedHold) bool { return h.endpoint == r.Endpoint && h.term == r.Status.Held })
}
