package queue

import (
	"context"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/limit"
	"siskincove/verdict"
)

// expireCheckInterval is how often a waiting request is checked once it would have to start to finish in time.
const expireCheckInterval = 5 * time.Millisecond

// Queue shares slots among requests. It is safe for concurrent use.
type Queue struct {
	clock clock.Service

	mu         sync.Mutex
	admission  *limit.Admission
	waiting    map[limit.Ticket]chan limit.Outcome
	lastTicket limit.Ticket
}

// New returns a queue for a number of slots.
func New(slots int, clk clock.Service) *Queue {
	return &Queue{clock: clk, admission: limit.NewAdmission(slots), waiting: make(map[limit.Ticket]chan limit.Outcome)}
}

// Used returns the number of slots taken.
func (q *Queue) Used() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Used()
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.Waiting()
}

// ServiceTime returns the mean time for which a slot is held.
func (q *Queue) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.admission.ServiceTime()
}

// Resize changes the number of slots and notifies the waiting requests on which this decides. Requests that hold a slot
// keep it.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Resize(slots, q.clock.Now()))
}

// Admit waits for a slot. It returns a *verdict.Error if the queue is full, as soon as the request is not expected to finish
// by its deadline, or when ctx ends.
func (q *Queue) Admit(ctx context.Context, r limit.Request) error {
	q.mu.Lock()
	q.lastTicket++
	ticket := q.lastTicket
	now := q.clock.Now()
	outcome := q.admission.Arrive(ticket, r, now)
	if outcome.Decision != limit.Queued {
		q.mu.Unlock()
		return outcomeError(outcome)
	}
	decided := make(chan limit.Outcome, 1)
	q.waiting[ticket] = decided
	checkAfter := r.Deadline.Sub(now) - q.admission.ServiceTime()
	q.mu.Unlock()
	return q.await(ctx, ticket, decided, checkAfter)
}

// await waits for the decision on a queued request. From the time at which the request would have to start, it checks
// at short intervals which requests can no longer finish in time and refuses them; each release of a slot checks this
// too.
func (q *Queue) await(ctx context.Context, ticket limit.Ticket, decided chan limit.Outcome, checkAfter time.Duration) error {
	checkAfter = max(checkAfter, expireCheckInterval)
	for {
		select {
		case outcome := <-decided:
			return outcomeError(outcome)
		case <-ctx.Done():
			return q.cancelWait(ticket, decided)
		case <-q.clock.After(checkAfter):
			q.expire()
			checkAfter = expireCheckInterval
		}
	}
}

func outcomeError(outcome limit.Outcome) error {
	if outcome.Decision == limit.Granted {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Overload, "no free slot before the deadline").WithRetryAfter(outcome.RetryAfter)
}

// cancelWait ends the wait of a request whose context has ended, and frees a slot that was granted to it meanwhile.
func (q *Queue) cancelWait(ticket limit.Ticket, decided chan limit.Outcome) error {
	q.mu.Lock()
	queued := q.admission.Cancel(ticket)
	delete(q.waiting, ticket)
	q.mu.Unlock()
	if !queued {
		if outcome := <-decided; outcome.Decision == limit.Granted {
			q.Release(0)
		}
	}
	return verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
}

// Release frees a slot that was held for the given duration and notifies the waiting requests on which this decides.
func (q *Queue) Release(took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Release(took, q.clock.Now()))
}

// deliver passes the decisions to the requests that wait for them; q.mu must be held.
func (q *Queue) deliver(outcomes []limit.Outcome) {
	for _, outcome := range outcomes {
		if decided, ok := q.waiting[outcome.Ticket]; ok {
			delete(q.waiting, outcome.Ticket)
			decided <- outcome
		}
	}
}

// expire refuses the waiting requests that can no longer finish in time.
func (q *Queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.admission.Expire(q.clock.Now()))
}
