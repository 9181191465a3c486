package succession

import (
	"context"
	"slices"
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

// dialTimeout bounds the opening of a connection, which takes three round trips and, at a busy endpoint, the wait for one of
// its slots. The dial continues after the probe that started it has timed out.
const dialTimeout = time.Second

// extraRoundTrips is how many round trips to the endpoint are added to the timeout of a probe, so that the answer of a
// distant endpoint has time to arrive.
const extraRoundTrips = 3

// errNoConnection is returned for a probe that got no connection: the dial did not end in time, another probe took the
// connection, or the endpoint was removed.
var errNoConnection = errors.New("no connection is available yet")

// prober queries endpoints over one connection each, which does not belong to the connection pools.
type prober struct {
	ctx    context.Context
	dialer connection.Dialer
	clock  clock.Service

	mu    sync.Mutex
	conns map[string]*endpointConn
	// opened counts the connections that were opened.
	opened uint64
	// dials counts the running dials.
	dials sync.WaitGroup
}

// numberedConn is a connection that can be told from others by its number.
type numberedConn struct {
	connection.Conn
	number uint64
}

// endpointConn holds the idle connection to an endpoint and the running dial.
type endpointConn struct {
	endpoint config.Endpoint
	conn     *numberedConn
	// dialDone is closed when the running dial has ended, and nil if none is running. dialErr is the error of the last dial.
	dialDone chan struct{}
	dialErr  error
}

func newProber(ctx context.Context, dialer connection.Dialer, clk clock.Service) *prober {
	return &prober{ctx: ctx, dialer: dialer, clock: clk, conns: make(map[string]*endpointConn)}
}

// query sends one step, that is, one statement, to an endpoint and returns the result. It waits up to timeout for a
// connection, and then up to timeout plus extraRoundTrips round trips for the answer.
func (p *prober) query(ctx context.Context, e config.Endpoint, step statement.Step, timeout time.Duration) ProbeResult {
	conn, result := p.connect(ctx, e, timeout)
	if conn == nil {
		return result
	}
	result = p.exchange(ctx, conn, result, step, p.clock.Now().Add(timeout+extraRoundTrips*conn.RoundTrip()))
	if result.Answered {
		p.release(e.Name, conn)
	}
	return result
}

// connect acquires a connection, nil if none is available in time. The result tells what is known of the endpoint then.
func (p *prober) connect(ctx context.Context, e config.Endpoint, timeout time.Duration) (*numberedConn, ProbeResult) {
	result := ProbeResult{Endpoint: e.Name, Leaving: e.Leaving}
	conn, err := p.acquire(ctx, e, timeout)
	if err != nil {
		result.Refused = errors.Is(err, syscall.ECONNREFUSED)
		// An endpoint that rejects a connection because of its limits is alive.
		reason := verdict.From(err).Reason
		result.Answered = reason == verdict.TooManyConnections || reason == verdict.Overload
		return nil, result
	}
	return conn, result
}

// exchange sends one step over a connection and returns the result with its answer. Without an answer the connection is closed.
func (p *prober) exchange(ctx context.Context, conn *numberedConn, result ProbeResult, step statement.Step, deadline time.Time) ProbeResult {
	result.Answered, result.Status = false, nil
	answers, err := conn.Exchange(ctx, deadline, step)
	if err != nil {
		conn.Close()
		return result
	}
	result.Answered, result.Status, result.Connection = true, answers[0].Status, conn.number
	return result
}

// acquire returns the idle connection, or waits up to timeout for a new one.
func (p *prober) acquire(ctx context.Context, e config.Endpoint, timeout time.Duration) (*numberedConn, error) {
	conn, dialDone := p.idleOrDial(e)
	if conn != nil {
		return conn, nil
	}
	select {
	case <-dialDone:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.clock.After(timeout):
		return nil, errNoConnection
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[e.Name]
	if c == nil {
		return nil, errNoConnection
	}
	if conn, c.conn = c.conn, nil; conn != nil {
		return conn, nil
	}
	if c.dialErr != nil {
		return nil, c.dialErr
	}
	return nil, errNoConnection
}

// idleOrDial returns the idle connection, or else a channel that is closed when the running dial has ended. It starts a
// dial if none is running.
func (p *prober) idleOrDial(e config.Endpoint) (*numberedConn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[e.Name]
	if c == nil {
		c = &endpointConn{endpoint: e}
		p.conns[e.Name] = c
	}
	if conn := c.conn; conn != nil {
		c.conn = nil
		select {
		case <-conn.Broken():
		default:
			return conn, nil
		}
	}
	if c.dialDone == nil {
		c.dialDone = make(chan struct{})
		p.dials.Go(func() { p.dial(e, c) })
	}
	return nil, c.dialDone
}

// dial opens a connection and stores it in c as idle.
func (p *prober) dial(e config.Endpoint, c *endpointConn) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, connection.Target{Endpoint: e}, dialTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(c.dialDone)
	c.dialDone, c.dialErr = nil, err
	switch {
	case err != nil:
	case p.conns[e.Name] == c && c.conn == nil:
		p.opened++
		c.conn = &numberedConn{Conn: conn, number: p.opened}
	default:
		conn.Close()
	}
}

// release stores a connection as idle for the next probe.
func (p *prober) release(name string, conn *numberedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[name]
	if c == nil || c.conn != nil {
		conn.Close()
		return
	}
	c.conn = conn
}

// retain closes the connections to endpoints that are not in endpoints or have another address or incarnation there.
func (p *prober) retain(endpoints []config.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.conns {
		if slices.ContainsFunc(endpoints, func(e config.Endpoint) bool {
			return e.Name == name && e.Address == c.endpoint.Address && e.Incarnation == c.endpoint.Incarnation
		}) {
			continue
		}
		if c.conn != nil {
			c.conn.Close()
		}
		delete(p.conns, name)
	}
}

// close closes every idle connection and waits for the running dials, which end with the prober's context.
func (p *prober) close() {
	p.retain(nil)
	p.dials.Wait()
}
