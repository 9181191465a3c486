package succession

import (
	"time"

	"siskincove/endpoint"
)

type seenHold struct {
	endpoint string
	term     endpoint.FencedTerm
	since    time.Time
}

// underWay reports whether another coordinator's succession seems to be under way: some replica is held, and not for
// long enough to count as forgotten.
func (w Detector) underWay(t Timing, rank int, now time.Time) bool {
	for _, h := range w.holds {
		if now.Sub(h.since) < t.HoldTimeout+time.Duration(rank)*t.Stagger {
			return true
		}
	}
	return false
}

// forgotten returns the replicas that have been held beside a working primary for too long.
func (w Detector) forgotten(t Timing, now time.Time) []string {
	var out []string
	for _, h := range w.holds {
		if now.Sub(h.since) >= t.HoldTimeout {
			out = append(out, h.endpoint)
		}
	}
	return out
}

// withHolds keeps the holds that are seen, and since when.
func (w Detector) withHolds(sights []ProbeResult, now time.Time) Detector {
	var holds []seenHold
	for _, s := range sights {
		if s.Standing == nil || s.Standing.Held == 0 {
			continue
		}
		h := seenHold{endpoint: s.Endpoint, term: s.Standing.Held, since: now}
		for _, before := range w.holds {
			if before.endpoint == h.endpoint && before.term == h.term {
				h.since = before.since
			}
		}
		holds = append(holds, h)
	}
	w.holds = holds
	return w
}
