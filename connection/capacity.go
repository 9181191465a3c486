package connection

import (
	"time"

	"github.com/apex/log"

	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// beginExchange records that a statement is sent, and returns when.
func (p *Pool) beginExchange() time.Time {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flight.begin(now)
	return now
}

// forgetExchange records that nothing more is known of an exchange.
func (p *Pool) forgetExchange(sent time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flight.end(sent, false)
}

// endExchange narrows the window if the endpoint had no free slot for a step or did not answer in time. It ignores borrowed
// connections, since a refusal by the instance that lends them says nothing about the endpoint's slots.
func (p *Pool) endExchange(sent time.Time, answers []statement.Answer, err error, deadline time.Time) {
	now, serviceTime := p.options.Clock.Now(), p.queue.ServiceTime()
	reason := ""
	if err != nil && !now.Before(deadline) {
		reason = "deadline exceeded"
	}
	busy := false
	for _, a := range answers {
		busy = busy || a.Failure != nil && a.Failure.Reason == verdict.Overload
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reason != "" && p.options.ByWorkspace && p.flight.isOvertaken(sent, now, serviceTime) {
		reason = ""
	}
	p.flight.end(sent, err == nil && !busy)
	if busy {
		reason = "no free slot"
	}
	if reason != "" && !p.options.Borrows {
		p.shrinkWindow(reason, now)
	}
	if err == nil && !busy {
		p.endStuckFailure(now)
	}
	p.updateCapacityLocked()
}

// endStuckFailure closes the circuit after an answer of the endpoint if an attempt to connect is due but no place is free for one
// in the background: statements may then wait for a place. p.mu must be held.
func (p *Pool) endStuckFailure(now time.Time) {
	full := p.usage.open >= p.limit && len(p.idle) == 0
	if p.options.ByWorkspace && !p.options.Borrows && full && p.circuit.Failed() && p.circuit.Allows(now) {
		p.circuit = p.circuit.WithSuccess()
	}
}

// shrinkWindow narrows the window. p.mu must be held.
func (p *Pool) shrinkWindow(reason string, now time.Time) {
	before := p.window
	p.window = p.window.WithRefusal(now)
	if p.window != before {
		p.options.Logger.Log(event.EndpointFull, log.Fields{
			"endpoint": p.options.Endpoint.Name, "why": reason, "before": before.Size(now), "window": p.window.Size(now),
		})
	}
}

// addIdleInTx changes the number of a workspace's connections that are idle in a transaction.
func (p *Pool) addIdleInTx(workspace string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleInTx += delta
	p.usage.addIdleInTx(workspace, delta)
	p.updateCapacityLocked()
}

// growWindow applies the window's growth since the last exchange.
func (p *Pool) growWindow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateCapacityLocked()
}

// updateCapacityLocked sets how many connections may be in use: as many as the window allows, plus those that take no slot since
// they are idle in a transaction or their statement is overtaken. A window smaller than maxDials is taken as maxDials, because
// statements to a distant endpoint spend most of their time on the network. p.mu must be held.
func (p *Pool) updateCapacityLocked() {
	now := p.options.Clock.Now()
	size := max(p.window.Size(now), p.maxDials) + p.idleInTx
	if p.options.ByWorkspace {
		// The holders of a workspace's connections are few, so a few statements that the endpoint does not answer would keep all
		// others from it.
		size += p.flight.overtaken(now, p.queue.ServiceTime())
	}
	p.queue.Resize(min(size, p.limit))
}
