package succession

import (
	"time"
)

// withOverload records the newest term and when it last rose, and since when the primary has had no free slot while all
// replicas lagged too far to serve reads.
func (d Detector) withOverload(s Survey, primary *ProbeResult, t Timing, now time.Time) Detector {
	if newest := newestTerm(s.Results); newest > d.term {
		if d.term != 0 {
			d.termChanged = now
		}
		d.term = newest
	}
	primaryName, lagging := s.Primary, 0
	if primary != nil {
		primaryName = primary.Endpoint
	}
	for _, result := range s.Results {
		switch {
		case result.Endpoint == primaryName && t.saturated(result, s.ProvenAt, now):
			d.lastSaturated = now
		case result.Endpoint == primaryName || !result.Answered:
		case result.Status != nil && result.Status.Lag < t.MaxLag:
			d.overloadedSince = time.Time{}
			return d
		case result.Status != nil:
			lagging++
		}
	}
	switch {
	case lagging == 0 || now.Sub(d.lastSaturated) > t.Overloaded:
		d.overloadedSince = time.Time{}
	case d.overloadedSince.IsZero():
		d.overloadedSince = now
	}
	return d
}

// saturated reports whether the primary has no free slot: it answered only that none is free, the BusySlots of its status
// reach Timing.BusySlots, or the probe got no answer although the primary was proved to lead within Timing.Overloaded, as
// when the probe waits behind callers' statements.
func (t Timing) saturated(result ProbeResult, proven, now time.Time) bool {
	switch {
	case result.Status != nil:
		return result.Status.BusySlots >= t.BusySlots
	case result.Answered:
		return true
	default:
		return !result.Refused && now.Sub(proven) < t.Overloaded
	}
}

func (d Detector) isOverloaded(t Timing, now time.Time) bool {
	return !d.overloadedSince.IsZero() && now.Sub(d.overloadedSince) >= t.Overloaded && now.Sub(d.termChanged) >= t.OverloadPause
}

// needsFrequentProbes reports whether an overloaded primary, or an endpoint that does not answer, has to be probed again
// soon.
func (d Detector) needsFrequentProbes() bool { return !d.overloadedSince.IsZero() || d.hasUnsettled() }
