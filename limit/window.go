package limit

import "time"

const (
	// windowFloor is the least number of statements under way at an endpoint.
	windowFloor = 1.0
	// windowCut is the part of a window that a refusal leaves, as is usual for additive increase and multiplicative decrease.
	windowCut = 0.5
	// windowRecovery is the time in which a window grows from nothing to its limit: long against the few hundred ms that
	// statements wait at a full endpoint.
	windowRecovery = 6 * time.Second
	// windowRest is the least time between two cuts: refusals that come together are one sign.
	windowRest = 50 * time.Millisecond
)

// Window is how many statements of this instance may be under way at an endpoint whose places others use too: a refusal
// for want of a place halves it, and it grows again with time. It begins with the least size: as long as many instances
// begin at once, the connections that they make would take the endpoint's time. It is an immutable value.
type Window struct {
	limit float64
	size  float64
	// at is the time of the last cut, or of the window's beginning.
	at time.Time
}

// NewWindow returns a window that grows from the least size to its limit.
func NewWindow(limit int, now time.Time) Window {
	return Window{limit: max(float64(limit), windowFloor), size: windowFloor, at: now}
}

// Limit returns how wide the window can get.
func (w Window) Limit() int { return int(w.limit) }

// Size returns how many statements may be under way.
func (w Window) Size(now time.Time) int { return int(w.width(now)) }

func (w Window) width(now time.Time) float64 {
	grown := w.limit * float64(now.Sub(w.at)) / float64(windowRecovery)
	return min(w.size+max(grown, 0), w.limit)
}

// WithLimit returns the window under another limit.
func (w Window) WithLimit(limit int) Window {
	w.limit = max(float64(limit), windowFloor)
	w.size = min(w.size, w.limit)
	return w
}

// WithRefusal returns the window after the endpoint had no place for a statement, or did not get to it in time.
func (w Window) WithRefusal(now time.Time) Window {
	if now.Sub(w.at) < windowRest {
		return w
	}
	w.size, w.at = max(w.width(now)*windowCut, windowFloor), now
	return w
}
