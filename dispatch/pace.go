package dispatch

import (
	"math/rand/v2"
	"time"
)

const (
	// backoffFirst and backoffMaximum are the parts of a statement's time that pace its tries at endpoints without a free
	// slot: what has less time asks more often. backoffFactor makes the pauses longer, so that what waits for long, and is
	// late already, gives way to what can still be in time.
	backoffFirst   = 1.0 / 250
	backoffMaximum = 1.0 / 30
	backoffFactor  = 1.5
	// paceUrgent is the pace of high priorities, and paceOpen that of statements of an open transaction, whose earlier work
	// would be lost.
	paceUrgent = 0.5
	paceOpen   = 0.15
	// priorityUrgent is the lowest urgent priority; 0 is the highest.
	priorityUrgent = 1
)

// pace is how soon a statement that found no free slot is tried again.
type pace struct {
	next, most time.Duration
}

func newPace(timeout time.Duration, priority int) pace {
	part := 1.0
	if priority <= priorityUrgent {
		part = paceUrgent
	}
	return pace{next: time.Duration(part * backoffFirst * float64(timeout)), most: time.Duration(part * backoffMaximum * float64(timeout))}
}

// scaled returns the pace with all pauses multiplied.
func (p pace) scaled(part float64) pace {
	return pace{next: time.Duration(part * float64(p.next)), most: time.Duration(part * float64(p.most))}
}

func (w *work) takeBackoff() time.Duration {
	pause := spread(w.pace.next)
	w.pace.next = min(time.Duration(backoffFactor*float64(w.pace.next)), w.pace.most)
	return pause
}

// spread returns a time of half to one and a half of d, so that callers who were refused together return apart.
func spread(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }
