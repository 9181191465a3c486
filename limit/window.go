package limit

import "time"

const (
	// windowFloor is the least number of statements in flight at an endpoint.
	windowFloor = 1.0
	// windowCut is the factor by which a refusal reduces the window (additive increase, multiplicative decrease).
	windowCut = 0.5
	// windowRecovery is the time in which a window grows from nothing to its limit, long compared with the few hundred
	// ms that statements wait at a full endpoint.
	windowRecovery = 6 * time.Second
	// minWindowCutInterval is the least time between two cuts; refusals within it count as one signal.
	minWindowCutInterval = 50 * time.Millisecond
)

// Window bounds the statements of this instance in flight at an endpoint whose queue other instances use too. A refusal
// for lack of a free slot halves it, and it grows back over time. It starts at the least size, because when many instances
// start at once, the connections that they open would take up the endpoint's time. It is an immutable value.
type Window struct {
	limit float64
	// size is the size of the window at the time at: that of the last cut, or of the window's creation.
	size float64
	at   time.Time
}

// NewWindow returns a window that grows from the least size to its limit.
func NewWindow(limit int, now time.Time) Window {
	return Window{limit: max(float64(limit), windowFloor), size: windowFloor, at: now}
}

// Limit returns the greatest size of the window.
func (w Window) Limit() int { return int(w.limit) }

// Size returns the number of statements that may be in flight at now.
func (w Window) Size(now time.Time) int { return int(w.width(now)) }

// width returns the size of the window at now, including the growth since the last cut.
func (w Window) width(now time.Time) float64 {
	grown := w.limit * float64(now.Sub(w.at)) / float64(windowRecovery)
	return min(w.size+max(grown, 0), w.limit)
}

// WithLimit returns the window with another limit.
func (w Window) WithLimit(limit int) Window {
	w.limit = max(float64(limit), windowFloor)
	w.size = min(w.size, w.limit)
	return w
}

// WithRefusal returns the window after the endpoint refused a statement for lack of a free slot or did not start it in
// time.
func (w Window) WithRefusal(now time.Time) Window {
	if now.Sub(w.at) < minWindowCutInterval {
		return w
	}
	w.size, w.at = max(w.width(now)*windowCut, windowFloor), now
	return w
}
