package succession

import (
	"time"

	"siskincove/group"
)

// shortfallLimit is how long a database stays without a primary since no counted endpoint has every commit that is known to have been
// acknowledged. As with a promotion, the platform may carry out the call that registers an endpoint seconds later.
const shortfallLimit = group.MaxPromotionAge

// shortfall is since when successions have found no such endpoint, zero if none has since a primary led; it is an immutable value.
type shortfall struct{ since time.Time }

// with returns the shortfall after a succession.
func (s shortfall) with(last Succession, now time.Time) shortfall {
	switch {
	case last.Phase() == Done:
		return shortfall{}
	case last.Lacking() && s.since.IsZero():
		return shortfall{since: now}
	default:
		return s
	}
}

// isAccepted reports whether the database has waited for long enough.
func (s shortfall) isAccepted(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) >= shortfallLimit
}
