package succession

import (
	"time"

	"siskincove/endpoint"
)

// observedHold is a hold and when it was first observed.
type observedHold struct {
	endpoint string
	term     endpoint.FencedTerm
	since    time.Time
}

// otherInProgress reports whether another coordinator's succession seems to be in progress: a replica is held, and not
// yet for long enough to count as abandoned. Holds that this coordinator's last succession has left are abandoned at once.
func (d Detector) otherInProgress(t Timing, rank int, now time.Time) bool {
	for _, h := range d.holds {
		if h.term != d.endedTerm && now.Sub(h.since) < t.HoldTimeout+time.Duration(rank)*t.Stagger {
			return true
		}
	}
	return false
}

// abandonedHolds returns the replicas that have been held for at least Timing.HoldTimeout.
func (d Detector) abandonedHolds(t Timing, now time.Time) []string {
	var out []string
	for _, h := range d.holds {
		if now.Sub(h.since) >= t.HoldTimeout {
			out = append(out, h.endpoint)
		}
	}
	return out
}

// withHolds records the current holds and when each was first observed.
func (d Detector) withHolds(results []ProbeResult, now time.Time) Detector {
	var holds []observedHold
	for _, r := range results {
		if r.Status == nil || r.Status.Held == 0 {
			continue
		}
		h := observedHold{endpoint: r.Endpoint, term: r.Status.Held, since: now}
		for _, before := range d.holds {
			if before.endpoint == h.endpoint && before.term == h.term {
				h.since = before.since
			}
		}
		holds = append(holds, h)
	}
	d.holds = holds
	return d
}
