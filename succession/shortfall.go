package succession

import (
	"time"

	"siskincove/group"
)

// shortfallLimit is how long a database stays without a primary since no counted endpoint has every commit that is known to have been
// acknowledged. As with a promotion, the platform may carry out the call that registers an endpoint seconds later.
const shortfallLimit = group.MaxPromotionAge

// shortfall is since when successions have found no such endpoint, while the endpoints could be read, zero if none has since a primary
// was replaced; it is an immutable value.
type shortfall struct{ since time.Time }

// with returns the shortfall after a succession; unread is set if the endpoints could not be read before it.
func (s shortfall) with(last Succession, unread bool, now time.Time) shortfall {
	handedBack := last.Target() != "" && last.Target() == last.plan.OldPrimary
	switch {
	case !last.Lacking() && !handedBack:
		if last.Target() != "" {
			return shortfall{}
		}
		return s
	case unread || s.since.IsZero():
		return shortfall{since: now}
	default:
		return s
	}
}

// isAccepted reports whether the database has waited for long enough.
func (s shortfall) isAccepted(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= shortfallLimit
}
