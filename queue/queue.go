package queue

import (
	"context"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/limit"
	"siskincove/verdict"
)

// expireInterval is how often a request that waits is looked at once it is short of time.
const expireInterval = 5 * time.Millisecond

// Queue shares slots among requests; its methods may be called by any goroutine.
type Queue struct {
	clock clock.Service

	mu        sync.Mutex
	admission *limit.Admission
	waiting   map[limit.Ticket]chan limit.Outcome
	next      limit.Ticket
}

// New returns a queue for a number of slots.
func New(slots int, service clock.Service) *Queue {
	return &Queue{clock: service, admission: limit.NewAdmission(slots), waiting: make(map[limit.Ticket]chan limit.Outcome)}
}

// Used returns how many slots are taken.
func (q *Queue) Used() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Used()
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Waiting()
}

// Service returns the mean time for which a slot is held.
func (q *Queue) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.ServiceTime()
}

// Resize changes the number of slots and wakes those whose wait is decided by it; what holds one is not disturbed.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Resize(slots, q.clock.Now()))
}

// Admit waits for a slot; a refusal, a verdict error, comes as soon as it is certain that the deadline can't be met.
func (q *Queue) Admit(ctx context.Context, class limit.Class, deadline time.Time) error {
	q.mu.Lock()
	q.next++
	ticket := q.next
	now := q.clock.Now()
	outcome := q.admission.Arrive(ticket, class, deadline, now)
	if outcome.Decision != limit.Queued {
		q.mu.Unlock()
		return refusal(outcome)
	}
	answer := make(chan limit.Outcome, 1)
	q.waiting[ticket] = answer
	look := deadline.Sub(now) - q.admission.ServiceTime()
	q.mu.Unlock()
	return q.await(ctx, ticket, answer, look)
}

// await waits for the decision on a queued request. From the time on at which it would have to start, it looks again
// and again whether the request can still finish in time, and refuses what can't; each release of a slot looks too.
func (q *Queue) await(ctx context.Context, ticket limit.Ticket, answer chan limit.Outcome, look time.Duration) error {
	look = max(look, expireInterval)
	for {
		select {
		case outcome := <-answer:
			return refusal(outcome)
		case <-ctx.Done():
			return q.withdraw(ticket, answer)
		case <-q.clock.After(look):
			q.expire()
			look = expireInterval
		}
	}
}

func refusal(outcome limit.Outcome) error {
	if outcome.Decision == limit.Granted {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Overload, "no slot before the deadline").WithAfter(outcome.After)
}

// withdraw gives up a wait whose caller has gone, and returns a slot that was granted meanwhile.
func (q *Queue) withdraw(ticket limit.Ticket, answer chan limit.Outcome) error {
	q.mu.Lock()
	queued := q.admission.Cancel(ticket)
	delete(q.waiting, ticket)
	q.mu.Unlock()
	if !queued {
		if outcome := <-answer; outcome.Decision == limit.Granted {
			q.Release(0)
		}
	}
	return verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
}

// Release returns a slot that was held for a time and wakes those whose wait is decided by it.
func (q *Queue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Release(took, q.clock.Now()))
}

func (q *Queue) deliver(outcomes []limit.Outcome) {
	for _, outcome := range outcomes {
		if answer, ok := q.waiting[outcome.Ticket]; ok {
			delete(q.waiting, outcome.Ticket)
			answer <- outcome
		}
	}
}

// expire refuses the waiting requests that can no longer finish in time.
func (q *Queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Expire(q.clock.Now()))
}
