package connection

import (
	"time"

	"github.com/apex/log"

	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// adjustWindow narrows the window if the endpoint had no free slot for a step or did not answer in time. It ignores borrowed
// connections, since a refusal by the instance that lends them says nothing about the endpoint's slots.
func (p *Pool) adjustWindow(answers []statement.Answer, err error, deadline time.Time) {
	if p.options.Borrows {
		return
	}
	now := p.options.Clock.Now()
	reason := ""
	if err != nil && !now.Before(deadline) {
		reason = "deadline exceeded"
	}
	for _, a := range answers {
		if a.Failure != nil && a.Failure.Reason == verdict.Overload {
			reason = "no free slot"
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if reason != "" {
		p.shrinkWindow(reason, now)
	}
	p.updateCapacityLocked()
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

// updateCapacityLocked sets how many connections may be in use: as many as the window allows, plus those idle in a
// transaction. A window smaller than maxDials is taken as maxDials, because statements to a distant endpoint spend most
// of their time on the network. p.mu must be held.
func (p *Pool) updateCapacityLocked() {
	size := max(p.window.Size(p.options.Clock.Now()), p.maxDials)
	p.queue.Resize(min(size+p.idleInTx, p.limit))
}
