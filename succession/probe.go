package succession

import (
	"context"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/statement"
	"siskincove/verdict"
)

// probe asks endpoints outside of the pools, over one connection each.
type probe struct {
	dialer connection.Dialer
	clock  clock.Service

	mu    sync.Mutex
	conns map[string]connection.Conn
}

func newProbe(dialer connection.Dialer, service clock.Service) *probe {
	return &probe{dialer: dialer, clock: service, conns: make(map[string]connection.Conn)}
}

// ask sends one step to an endpoint and returns what that tells.
func (p *probe) ask(ctx context.Context, e config.Endpoint, step statement.Step, timeout time.Duration) Sight {
	sight := Sight{Endpoint: e.Name, Leaving: e.Leaving}
	deadline := p.clock.Now().Add(timeout)
	conn, err := p.take(ctx, e, timeout)
	if err != nil {
		sight.Refused = errors.Is(err, syscall.ECONNREFUSED)
		// An endpoint that admits no connection is there.
		reason := verdict.From(err).Reason
		sight.Answered = reason == verdict.Connections || reason == verdict.Overload
		return sight
	}
	answers, err := conn.Exchange(ctx, deadline, step)
	if err != nil {
		conn.Close()
		return sight
	}
	p.put(e, conn)
	sight.Answered, sight.Standing = true, answers[0].Standing
	return sight
}

// take returns the connection that is kept, or a new one.
func (p *probe) take(ctx context.Context, e config.Endpoint, timeout time.Duration) (connection.Conn, error) {
	p.mu.Lock()
	conn := p.conns[e.Name]
	delete(p.conns, e.Name)
	p.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Broken():
		default:
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.dialer.Dial(ctx, e)
}

func (p *probe) put(e config.Endpoint, conn connection.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept := p.conns[e.Name]; kept != nil {
		kept.Close()
	}
	p.conns[e.Name] = conn
}

// keep closes the connections to all but the endpoints given.
func (p *probe) keep(members []config.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, conn := range p.conns {
		known := false
		for _, e := range members {
			known = known || e.Name == name
		}
		if !known {
			conn.Close()
			delete(p.conns, name)
		}
	}
}

func (p *probe) close() { p.keep(nil) }
