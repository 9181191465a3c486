package succession

import (
	"time"
)

// withPress keeps since when the primary has had no free slot while every replica lagged too far to take reads.
func (w Detector) withPress(s Survey, lead *ProbeResult, t Timing, now time.Time) Detector {
	if newest := newestTerm(s.Results); newest > w.term {
		if w.term != 0 {
			w.changed = now
		}
		w.term = newest
	}
	primary, lagging := s.Primary, 0
	if lead != nil {
		primary = lead.Endpoint
	}
	for _, sight := range s.Results {
		switch {
		case sight.Endpoint == primary && t.full(sight, s.ProvenAt, now):
			w.busy = now
		case sight.Endpoint == primary || !sight.Answered:
		case sight.Standing != nil && sight.Standing.Lag < t.MaxLag:
			w.pressed = time.Time{}
			return w
		case sight.Standing != nil:
			lagging++
		}
	}
	switch {
	case lagging == 0 || now.Sub(w.busy) > t.Overloaded:
		w.pressed = time.Time{}
	case w.pressed.IsZero():
		w.pressed = now
	}
	return w
}

// full reports whether a primary has no free slot: it says so, many statements wait there, or a question to it waits for
// so long that it went without an answer, although callers' statements are served.
func (t Timing) full(s ProbeResult, proven, now time.Time) bool {
	switch {
	case s.Standing != nil:
		return s.Standing.BusySlots >= t.BusySlots
	case s.Answered:
		return true
	default:
		return !s.Refused && now.Sub(proven) < t.Overloaded
	}
}

func (w Detector) isPressed(t Timing, now time.Time) bool {
	return !w.pressed.IsZero() && now.Sub(w.pressed) >= t.Overloaded && now.Sub(w.changed) >= t.OverloadPause
}

// looksClosely reports whether the evidence of a primary without free slots, or an endpoint that does not answer, needs
// more looks soon.
func (w Detector) looksClosely() bool { return !w.pressed.IsZero() || w.unsettled() }
