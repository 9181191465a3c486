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

// dialBudget bounds a new connection: it takes three round trips and the wait for a slot, and goes on while questions that
// could not wait for it have ended.
const dialBudget = time.Second

// trips is what is added to a question's time of round trips to its endpoint.
const trips = 3

// errUnderWay is the error of a question that could not wait for its connection.
var errUnderWay = errors.New("connection is being made")

// probe asks endpoints outside of the pools, over one connection each.
type probe struct {
	ctx    context.Context
	dialer connection.Dialer
	clock  clock.Service

	mu    sync.Mutex
	lines map[string]*line
	// running are the dials under way.
	running sync.WaitGroup
}

// line is the way to one endpoint: its connection while no question uses it, and the dial under way.
type line struct {
	endpoint config.Endpoint
	conn     connection.Conn
	// dialled is closed when the dial under way has ended, nil without one; failure is the last one's.
	dialled chan struct{}
	failure error
}

func newProbe(ctx context.Context, dialer connection.Dialer, service clock.Service) *probe {
	return &probe{ctx: ctx, dialer: dialer, clock: service, lines: make(map[string]*line)}
}

// ask sends one step to an endpoint and returns what that tells. It waits a time for the connection, if there is none, and
// the same for the answer, but longer where the endpoint is far away.
func (p *probe) ask(ctx context.Context, e config.Endpoint, step statement.Step, timeout time.Duration) ProbeResult {
	sight := ProbeResult{Endpoint: e.Name, Leaving: e.Leaving}
	conn, err := p.take(ctx, e, timeout)
	if err != nil {
		sight.Refused = errors.Is(err, syscall.ECONNREFUSED)
		// An endpoint that admits no connection is there.
		reason := verdict.From(err).Reason
		sight.Answered = reason == verdict.Connections || reason == verdict.Overload
		return sight
	}
	answers, err := conn.Exchange(ctx, p.clock.Now().Add(timeout+trips*conn.RoundTrip()), step)
	if err != nil {
		conn.Close()
		return sight
	}
	p.put(e.Name, conn)
	sight.Answered, sight.Standing = true, answers[0].Standing
	return sight
}

// take returns the connection that is kept, or the one that is made within a time.
func (p *probe) take(ctx context.Context, e config.Endpoint, timeout time.Duration) (connection.Conn, error) {
	conn, dialled := p.kept(e)
	if conn != nil {
		return conn, nil
	}
	select {
	case <-dialled:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.clock.After(timeout):
		return nil, errUnderWay
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[e.Name]
	if l == nil {
		return nil, errUnderWay
	}
	if conn, l.conn = l.conn, nil; conn != nil {
		return conn, nil
	}
	if l.failure != nil {
		return nil, l.failure
	}
	return nil, errUnderWay
}

// kept returns the connection that is kept, or else a channel that is closed when the dial under way has ended.
func (p *probe) kept(e config.Endpoint) (connection.Conn, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[e.Name]
	if l == nil {
		l = &line{endpoint: e}
		p.lines[e.Name] = l
	}
	if conn := l.conn; conn != nil {
		l.conn = nil
		select {
		case <-conn.Broken():
		default:
			return conn, nil
		}
	}
	if l.dialled == nil {
		l.dialled = make(chan struct{})
		p.running.Go(func() { p.dial(e, l) })
	}
	return nil, l.dialled
}

// dial makes a connection for a line.
func (p *probe) dial(e config.Endpoint, l *line) {
	ctx, cancel := context.WithTimeout(p.ctx, dialBudget)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(l.dialled)
	l.dialled, l.failure = nil, err
	switch {
	case err != nil:
	case p.lines[e.Name] == l && l.conn == nil:
		l.conn = conn
	default:
		conn.Close()
	}
}

// put keeps a connection for the next question.
func (p *probe) put(name string, conn connection.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lines[name]
	if l == nil || l.conn != nil {
		conn.Close()
		return
	}
	l.conn = conn
}

// keep closes the connections to all but the endpoints given, and to those that were started anew.
func (p *probe) keep(members []config.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, l := range p.lines {
		if slices.ContainsFunc(members, func(e config.Endpoint) bool {
			return e.Name == name && e.Address == l.endpoint.Address && e.Incarnation == l.endpoint.Incarnation
		}) {
			continue
		}
		if l.conn != nil {
			l.conn.Close()
		}
		delete(p.lines, name)
	}
}

// close ends every connection and waits for the dials under way, which end with the probe's context.
func (p *probe) close() {
	p.keep(nil)
	p.running.Wait()
}
