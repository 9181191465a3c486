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
	p.mu.Unlock()
	select {
	case outcome = <-answer:
		return refusal(outcome)
	case <-ctx.Done():
		return p.withdraw(ticket, answer)
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

// expire refuses waiting requests as soon as they can no longer finish in time.
func (p *Pool) expire() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.options.Clock.After(expireInterval):
			p.expireOnce()
		}
	}
}

func (p *Pool) expireOnce() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admission.Waiting() > 0 {
		p.deliver(p.admission.Expire(p.now()))
	}
}
