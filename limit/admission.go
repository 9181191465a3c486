package limit

import (
	"time"
)

const (
	// smoothing is the weight of the newest sample in the mean service time.
	smoothing = 0.1
	// firstService is the mean service time assumed before the first sample.
	firstService = 2 * time.Millisecond
	// comeBackMinimum is the least time after which a refused caller is asked to come back.
	comeBackMinimum = 10 * time.Millisecond
)

// Admission shares the slots of one endpoint among classes. It is not safe for concurrent use.
type Admission struct {
	slots   int
	used    int
	service time.Duration
	virtual float64
	queues  map[string]*queue
	waiting int
}

// queue is the waiting requests of a class; finish is its virtual time.
type queue struct {
	class  Class
	finish float64
	items  []waiter
}

type waiter struct {
	ticket   Ticket
	deadline time.Time
}

// NewAdmission returns an admission over a number of slots.
func NewAdmission(slots int) *Admission {
	return &Admission{slots: max(slots, 1), service: firstService, queues: make(map[string]*queue)}
}

// Waiting returns how many requests wait.
func (a *Admission) Waiting() int { return a.waiting }

// Used returns how many slots are taken.
func (a *Admission) Used() int { return a.used }

// Service returns the mean time that a request holds its slot.
func (a *Admission) ServiceTime() time.Duration { return a.service }

// Resize changes the number of slots and decides on those that wait; what runs is not disturbed.
func (a *Admission) Resize(slots int, now time.Time) []Outcome {
	a.slots = max(slots, 1)
	return a.next(now)
}

// Arrive decides on a request that must have finished by deadline.
func (a *Admission) Arrive(ticket Ticket, class Class, deadline, now time.Time) Outcome {
	q := a.queue(class.normal())
	if a.used < a.slots && a.waiting == 0 {
		a.grant(q)
		return Outcome{Ticket: ticket, Decision: Granted}
	}
	wait := a.estimate(q, len(q.items)+1)
	spare := deadline.Sub(now) - wait - a.service
	if len(q.items) >= q.class.Queue || spare < 0 {
		return Outcome{Ticket: ticket, Decision: Refused, After: comeBack(wait, spare)}
	}
	if len(q.items) == 0 {
		q.finish = max(q.finish, a.virtual)
	}
	q.items = append(q.items, waiter{ticket: ticket, deadline: deadline})
	a.waiting++
	return Outcome{Ticket: ticket, Decision: Queued}
}

// comeBack is the time until those ahead will have had their turn, or half of that when the queue was only full.
func comeBack(wait, spare time.Duration) time.Duration {
	if spare < 0 {
		return max(wait, comeBackMinimum)
	}
	return max(wait/2, comeBackMinimum)
}

func (a *Admission) queue(class Class) *queue {
	q, ok := a.queues[class.Name]
	if !ok {
		q = &queue{}
		a.queues[class.Name] = q
	}
	q.class = class
	return q
}

func (a *Admission) grant(q *queue) {
	a.used++
	q.finish = max(q.finish, a.virtual)
	a.virtual = q.finish
	q.finish += 1 / float64(q.class.Weight)
}

// estimate returns how long until the n-th request of a queue gets a slot, from the class's share of the slots.
func (a *Admission) estimate(q *queue, n int) time.Duration {
	weights := 0
	for _, other := range a.queues {
		if len(other.items) > 0 || other == q {
			weights += other.class.Weight
		}
	}
	share := float64(q.class.Weight) / float64(weights) * float64(a.slots)
	return time.Duration(float64(n) * float64(a.service) / share)
}

// Release returns a slot whose request took the given time, and decides on those that wait.
func (a *Admission) Release(took time.Duration, now time.Time) []Outcome {
	a.used--
	a.service += time.Duration(smoothing * float64(took-a.service))
	a.service = max(a.service, 1)
	return a.next(now)
}

// next grants free slots in weighted order and refuses those that can no longer finish in time.
func (a *Admission) next(now time.Time) []Outcome {
	out := a.Expire(now)
	for a.used < a.slots {
		q := a.first()
		if q == nil {
			return out
		}
		w := q.items[0]
		q.items = q.items[1:]
		a.waiting--
		a.grant(q)
		out = append(out, Outcome{Ticket: w.ticket, Decision: Granted})
	}
	return out
}

// first returns the waiting queue with the least virtual time.
func (a *Admission) first() *queue {
	var best *queue
	for _, q := range a.queues {
		if len(q.items) == 0 {
			continue
		}
		if best == nil || q.finish < best.finish || q.finish == best.finish && q.class.Name < best.class.Name {
			best = q
		}
	}
	return best
}

// Expire refuses waiting requests that could not finish by their deadline even if they started now.
func (a *Admission) Expire(now time.Time) []Outcome {
	var out []Outcome
	for _, q := range a.queues {
		kept := q.items[:0]
		for _, w := range q.items {
			if w.deadline.Sub(now) >= a.service {
				kept = append(kept, w)
				continue
			}
			a.waiting--
			out = append(out, Outcome{Ticket: w.ticket, Decision: Refused, After: max(a.service, comeBackMinimum)})
		}
		q.items = kept
	}
	return out
}

// Cancel removes a request that no longer waits for an answer, and reports whether it was queued.
func (a *Admission) Cancel(ticket Ticket) bool {
	for _, q := range a.queues {
		for i, w := range q.items {
			if w.ticket == ticket {
				q.items = append(q.items[:i], q.items[i+1:]...)
				a.waiting--
				return true
			}
		}
	}
	return false
}
