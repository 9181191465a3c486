package connection

import (
	"time"

	"github.com/apex/log"

	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// observe takes in whether the endpoint had places for the steps of an exchange and got to them in time. What an instance
// that holds the connections refuses says nothing of the endpoint's places.
func (p *Pool) observe(answers []statement.Answer, err error, deadline time.Time) {
	if p.options.Borrows {
		return
	}
	now := p.options.Clock.Now()
	why := ""
	if err != nil && !now.Before(deadline) {
		why = "not in time"
	}
	for _, a := range answers {
		if a.Failure != nil && a.Failure.Reason == verdict.Overload {
			why = "no place"
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if why != "" {
		p.shrink(why, now)
	}
	p.admit()
}

// shrink narrows the window; p.mu is held.
func (p *Pool) shrink(why string, now time.Time) {
	before := p.window
	p.window = p.window.WithRefusal(now)
	if p.window != before {
		p.options.Logger.Log(event.EndpointFull, log.Fields{
			"endpoint": p.options.Endpoint.Name, "why": why, "before": before.Size(now), "window": p.window.Size(now),
		})
	}
}

// rest counts connections that begin or end to rest.
func (p *Pool) rest(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resting += change
	p.admit()
}

// grow lets the window's growth since the last exchange take effect.
func (p *Pool) grow() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admit()
}

// admit lets as many connections be used as the window allows, and those that rest; far away, where statements spend their
// time on the way, at least as many as may be made at once. p.mu is held.
func (p *Pool) admit() {
	size := max(p.window.Size(p.options.Clock.Now()), p.lanes)
	p.queue.Resize(min(size+p.resting, p.window.Limit()))
}
