package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// smoothing is the weight of the newest sample in the mean service time, an exponential moving average.
	smoothing = 0.1
	// initialServiceTime is the mean service time assumed before the first sample.
	initialServiceTime = 2 * time.Millisecond
	// minRetryAfter is the least retry delay given to a refused caller.
	minRetryAfter = 10 * time.Millisecond
)

// Admission shares the slots of one endpoint among classes by weighted fair queueing. Requests that can be answered on time
// go before those of their class that can't. It is not safe for concurrent use.
type Admission struct {
	slots       int
	used        int
	serviceTime time.Duration
	virtualTime float64
	// lanes are in the order of their creation.
	lanes   []*lane
	waiting int
}

// NewAdmission returns an Admission for a number of slots.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: max(slots, 1), serviceTime: initialServiceTime}
}

// Waiting returns the number of waiting requests.
func (a *Admission) Waiting() int { return a.waiting }

// Used returns the number of slots taken.
func (a *Admission) Used() int { return a.used }

// ServiceTime returns the mean time for which a request holds its slot.
func (a *Admission) ServiceTime() time.Duration { return a.serviceTime }

// Resize changes the number of slots and returns the resulting decisions on waiting requests. Running requests keep their
// slots.
func (a *Admission) Resize(slots int, now time.Time) []Outcome {
	a.slots = max(slots, 1)
	return a.grantFreeSlots(now)
}

// Arrive decides on a request.
func (a *Admission) Arrive(ticket Ticket, r Request, now time.Time) Outcome {
	r = r.withDefaults()
	if a.used < a.slots && a.waiting == 0 {
		a.grant(a.lane(r.Class, false))
		return Outcome{Ticket: ticket, Decision: Granted}
	}
	return a.enqueue(waiter{ticket: ticket, request: r}, now)
}

// enqueue adds a request to the first lane in which it is expected to be answered in time, or refuses it.
func (a *Admission) enqueue(w waiter, now time.Time) Outcome {
	out := Outcome{Ticket: w.ticket, Decision: Refused, RetryAfter: minRetryAfter}
	for _, late := range []bool{false, true} {
		l := a.lane(w.request.Class, late)
		wait := a.estimateWait(l, l.position(w.request.Flow))
		slack := l.deadline(w.request).Sub(now) - wait - a.serviceTime
		if l.waiting < l.class.Queue && slack >= 0 {
			a.push(l, w)
			return Outcome{Ticket: w.ticket, Decision: Queued}
		}
		out.RetryAfter = max(out.RetryAfter, retryAfter(wait, slack))
	}
	return out
}

func (a *Admission) push(l *lane, w waiter) {
	if l.waiting == 0 {
		l.virtualFinish = max(l.virtualFinish, a.virtualTime)
	}
	l.push(w)
	a.waiting++
}

// retryAfter returns the time until the requests ahead will have got a slot, or half of it if the request was refused only
// because the queue was full. wait is the estimated time in the queue, and slack the time that would then be left before
// the deadline.
func retryAfter(wait, slack time.Duration) time.Duration {
	if slack < 0 {
		return max(wait, minRetryAfter)
	}
	return max(wait/2, minRetryAfter)
}

func (a *Admission) lane(class Class, late bool) *lane {
	for _, l := range a.lanes {
		if l.class.Name == class.Name && l.late == late {
			l.class = class
			return l
		}
	}
	l := &lane{class: class, late: late, flows: make(map[string]*flow)}
	a.lanes = append(a.lanes, l)
	return l
}

// grant takes a slot for a request of a lane and advances the virtual times.
func (a *Admission) grant(l *lane) {
	a.used++
	l.virtualFinish = max(l.virtualFinish, a.virtualTime)
	a.virtualTime = l.virtualFinish
	l.virtualFinish += 1 / l.weight()
}

// estimateWait returns the time until the n-th request of a lane gets a slot, from the lane's share of the slots.
func (a *Admission) estimateWait(l *lane, n int) time.Duration {
	weights := 0.0
	for _, other := range a.lanes {
		if other.waiting > 0 || other == l {
			weights += other.weight()
		}
	}
	share := l.weight() / weights * float64(a.slots)
	return time.Duration(float64(n) * float64(a.serviceTime) / share)
}

// Release frees a slot that was held for the given duration, 0 if nothing was done with it, and returns the resulting
// decisions on waiting requests.
func (a *Admission) Release(took time.Duration, now time.Time) []Outcome {
	a.used--
	if took > 0 {
		a.serviceTime += time.Duration(smoothing * float64(took-a.serviceTime))
		a.serviceTime = max(a.serviceTime, 1)
	}
	return a.grantFreeSlots(now)
}

// grantFreeSlots grants free slots in weighted order and refuses waiting requests that can no longer finish in time.
func (a *Admission) grantFreeSlots(now time.Time) []Outcome {
	out := a.Expire(now)
	for a.used < a.slots {
		l := a.nextLane()
		if l == nil {
			return out
		}
		w := l.pop()
		a.waiting--
		a.grant(l)
		out = append(out, Outcome{Ticket: w.ticket, Decision: Granted})
	}
	return out
}

// nextLane returns the non-empty lane with the least virtual finish time, nil if none waits.
func (a *Admission) nextLane() *lane {
	var best *lane
	for _, l := range a.lanes {
		if l.waiting == 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(l.virtualFinish, best.virtualFinish), cmp.Compare(best.weight(), l.weight()), cmp.Compare(l.class.Name, best.class.Name)) < 0 {
			best = l
		}
	}
	return best
}

// Expire moves waiting requests that can no longer be answered on time behind those that can, and refuses those that could
// not finish by their deadline even if they started now.
func (a *Admission) Expire(now time.Time) []Outcome {
	if a.waiting == 0 {
		return nil
	}
	var out []Outcome
	for _, l := range a.lanes {
		expired := l.remove(func(w waiter) bool { return l.deadline(w.request).Sub(now) < a.serviceTime })
		a.waiting -= len(expired)
		slices.SortFunc(expired, func(v, w waiter) int { return cmp.Compare(v.ticket, w.ticket) })
		for _, w := range expired {
			if l.late {
				out = append(out, Outcome{Ticket: w.ticket, Decision: Refused, RetryAfter: max(a.serviceTime, minRetryAfter)})
				continue
			}
			if o := a.enqueue(w, now); o.Decision == Refused {
				out = append(out, o)
			}
		}
	}
	return out
}

// Cancel removes a request whose caller has gone, and reports whether it was queued.
func (a *Admission) Cancel(ticket Ticket) bool {
	for _, l := range a.lanes {
		removed := l.remove(func(w waiter) bool { return w.ticket == ticket })
		if len(removed) > 0 {
			a.waiting--
			return true
		}
	}
	return false
}
