package pool

import (
	"context"
	"time"

	"siskincove/limit"
	"siskincove/verdict"
)

const expireInterval = 5 * time.Millisecond

// admit waits for a slot; a refusal is final and comes as soon as it is certain that the deadline can't be met.
func (p *Pool) admit(ctx context.Context, class limit.Class, deadline time.Time) error {
	p.mu.Lock()
	p.next++
	ticket := p.next
	outcome := p.admission.Arrive(ticket, class, deadline, p.now())
	if outcome.Decision != limit.Queued {
		p.mu.Unlock()
		return refusal(outcome)
	}
	answer := make(chan limit.Outcome, 1)
	p.waiting[ticket] = answer
	look := deadline.Sub(p.now()) - p.admission.Service()
	p.mu.Unlock()
	return p.await(ctx, ticket, answer, look)
}

// await waits for the decision on a queued request. From the time on at which it would have to start, it looks again
// and again whether the request can still finish in time, and refuses what can't; each release of a slot looks too.
func (p *Pool) await(ctx context.Context, ticket limit.Ticket, answer chan limit.Outcome, look time.Duration) error {
	look = max(look, expireInterval)
	for {
		select {
		case outcome := <-answer:
			return refusal(outcome)
		case <-ctx.Done():
			return p.withdraw(ticket, answer)
		case <-p.clock.After(look):
			p.expire()
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
func (p *Pool) withdraw(ticket limit.Ticket, answer chan limit.Outcome) error {
	p.mu.Lock()
	queued := p.admission.Cancel(ticket)
	delete(p.waiting, ticket)
	p.mu.Unlock()
	if !queued {
		if outcome := <-answer; outcome.Decision == limit.Granted {
			p.release(0)
		}
	}
	return verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
}

// release returns a slot and wakes those whose wait is decided by it.
func (p *Pool) release(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.admission.Release(took, p.now()))
}

func (p *Pool) deliver(outcomes []limit.Outcome) {
	for _, outcome := range outcomes {
		if answer, ok := p.waiting[outcome.Ticket]; ok {
			delete(p.waiting, outcome.Ticket)
			answer <- outcome
		}
	}
}

// expire refuses the waiting requests that can no longer finish in time.
func (p *Pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliver(p.admission.Expire(p.now()))
}
