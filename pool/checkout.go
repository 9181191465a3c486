package pool

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/event"
	"siskincove/verdict"
)

// checkout returns an idle connection or opens one. The transaction must hold a slot.
func (p *Pool) checkout(ctx context.Context, readOnly bool) (*connection, error) {
	p.mu.Lock()
	if c := p.takeIdle(readOnly); c != nil {
		p.mu.Unlock()
		return c, nil
	}
	if remaining := p.circuit.Remaining(p.now()); remaining > 0 {
		p.mu.Unlock()
		return nil, unreachable().WithRetryAfter(remaining)
	}
	p.evict(!readOnly)
	p.open++
	p.mu.Unlock()
	return p.dial(ctx, readOnly)
}

// takeIdle removes and returns the most recently used idle connection, or returns nil if there is none. p.mu must be held.
func (p *Pool) takeIdle(readOnly bool) *connection {
	list := p.idle[readOnly]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[readOnly] = list[:len(list)-1]
	return c
}

// evict closes an idle connection, read-only or not as given, if the pool has reached its connection limit. p.mu must be
// held.
func (p *Pool) evict(readOnly bool) {
	if p.open < p.options.workingConnections() {
		return
	}
	if c := p.takeIdle(readOnly); c != nil {
		c.close()
		p.open--
	}
}

func unreachable() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint is not responding")
}

func (p *Pool) dial(ctx context.Context, readOnly bool) (*connection, error) {
	if err := p.rate.Wait(ctx); err != nil {
		p.decOpen()
		return nil, verdict.New(verdict.NotRun, verdict.Overload, "connection rate limit exceeded").WithCause(err)
	}
	c, err := p.dialer.dialWorking(ctx, readOnly)
	p.mu.Lock()
	defer p.mu.Unlock()
	name := p.name
	if err != nil {
		p.open--
		p.circuit = p.circuit.WithFailure(p.now())
		p.logger.Log(event.ConnectionFailed, log.Fields{"endpoint": name, "error": err.Error()})
		return nil, unreachable().WithCause(err).WithRetryAfter(p.retryAfter())
	}
	p.circuit = p.circuit.WithSuccess()
	p.logger.Log(event.ConnectionOpened, log.Fields{"endpoint": name, "open": p.open})
	return c, nil
}

const defaultRetryAfter = 100 * time.Millisecond

// retryAfter returns the suggested delay before retrying the endpoint. p.mu must be held.
func (p *Pool) retryAfter() time.Duration {
	return max(p.circuit.Remaining(p.now()), defaultRetryAfter)
}

func (p *Pool) decOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// checkin returns a connection that is known to be idle and clean to the pool.
func (p *Pool) checkin(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = c.conn.SetDeadline(time.Time{})
	if p.ctx.Err() != nil || len(c.prepared) > preparedMaximum {
		c.close()
		p.open--
		return
	}
	p.idle[c.readOnly] = append(p.idle[c.readOnly], c)
}

// discard closes a connection whose state is uncertain.
func (p *Pool) discard(c *connection, reason string) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.logger.Log(event.ConnectionDropped, log.Fields{"endpoint": p.name, "why": reason})
}
