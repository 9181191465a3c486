package connection

import (
	"time"

	"siskincove/verdict"
)

// minFullPause and maxFullPause bound the pause after an endpoint has refused a connection because it admits no more.
const (
	minFullPause = 50 * time.Millisecond
	maxFullPause = maxRedialPause
)

// ceiling keeps a pool from opening connections that the endpoint would refuse because of its limit. After such a refusal the
// pool opens connections only in place of its own, until a pause has passed; each further refusal doubles the pause. It is an
// immutable value.
type ceiling struct {
	pause time.Duration
	until time.Time
}

// withRefusal returns the ceiling after the endpoint has refused a connection because it admits no more.
func (c ceiling) withRefusal(now time.Time) ceiling {
	c.pause = min(max(2*c.pause, minFullPause), maxFullPause)
	c.until = now.Add(c.pause)
	return c
}

// withSuccess returns the ceiling after a connection was opened by an attempt that began at a time. One that was opened in
// place of another says nothing.
func (c ceiling) withSuccess(began time.Time) ceiling {
	if c.remaining(began) > 0 {
		return c
	}
	return ceiling{}
}

// remaining returns for how long the pool opens no connection but in place of its own.
func (c ceiling) remaining(now time.Time) time.Duration { return max(c.until.Sub(now), 0) }

// isFull reports whether the pool has as many connections as its limit or, for now, the endpoint allows. p.mu must be held.
func (p *Pool) isFull() bool {
	return p.usage.open >= p.limit || p.ceiling.remaining(p.options.Clock.Now()) > 0
}

// isRefusedAsFull reports whether the endpoint refused a connection of this instance because it admits no more.
func (p *Pool) isRefusedAsFull(err error) bool {
	return err != nil && !p.options.Borrows && verdict.From(err).Reason == verdict.TooManyConnections
}

// checkRoom returns how long the endpoint is assumed to refuse further connections, or an error if the pool has none that a
// statement could wait for.
func (p *Pool) checkRoom() (time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining := p.ceiling.remaining(p.options.Clock.Now())
	if remaining > 0 && p.usage.open == 0 {
		return 0, verdict.New(verdict.NotRun, verdict.TooManyConnections, "endpoint admits no further connection").WithRetryAfter(remaining)
	}
	return remaining, nil
}
