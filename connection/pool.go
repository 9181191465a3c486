package connection

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/queue"
	"siskincove/verdict"
)

// idleLimit is how long connections that are not needed are kept, but for one: an endpoint counts those of an instance that
// lost power for some seconds more, and a burst returns sooner than that.
const idleLimit = 2 * time.Second

// idleTrips is how many round trips connections that are not needed are kept at least: making one anew takes three.
const idleTrips = 40

const (
	// dialMaximum is how many connections are made at once to an endpoint that is far away, where it is the way that takes
	// the time; lanePace is the round trip for which one more is worth it, about the work that an endpoint has with one.
	dialMaximum = 4
	lanePace    = 25 * time.Millisecond
	// dialLeast is the least time before a deadline that is worth making a connection in: it takes 12 to 27 ms of the
	// endpoint's work and then the statement's.
	dialLeast = 40 * time.Millisecond
)

// Options are what a pool needs to know and to use.
type Options struct {
	Endpoint config.Endpoint
	Dialer   Dialer
	Clock    clock.Service
	Logger   *event.Logger
	// Limit is how many connections may be open.
	Limit int
	// Borrows tells that the dialer borrows connections which other instances hold.
	Borrows bool
	// Detour, if set, is used while the endpoint can't be reached directly.
	Detour Detour
}

// Pool holds the connections to one endpoint.
type Pool struct {
	options Options
	queue   *queue.Queue

	// dialling is full while as many connections are made as may be at once: a new one costs the endpoint a slot for a
	// while, and many at once would take all of them.
	dialling chan struct{}

	mu      sync.Mutex
	idle    []*PooledConn
	circuit limit.Circuit
	// cutUntil is until when the direct way counts as cut.
	cutUntil time.Time
	// roundTrip is that of the last connection made, 0 if it is not known.
	roundTrip time.Duration
	// lanes is how many connections may be made at once; the rest of dialling's room is taken up.
	lanes int
	// window is how many of the connections may be in use at once, as the endpoint's places allow.
	window limit.Window
	// resting counts connections in transactions that await their next statement, which take no place of the endpoint.
	resting int
	closed  bool
}

// New returns a pool without connections.
func New(o Options) *Pool {
	p := &Pool{options: o, queue: queue.New(1, o.Clock), dialling: make(chan struct{}, dialMaximum), lanes: 1, window: limit.NewWindow(o.Limit, o.Clock.Now())}
	for range dialMaximum - p.lanes {
		p.dialling <- struct{}{}
	}
	return p
}

// learn takes in how far away the endpoint is; p.mu is held.
func (p *Pool) learn(roundTrip time.Duration) {
	if roundTrip == 0 {
		return
	}
	p.roundTrip = roundTrip
	for p.lanes < min(1+int(roundTrip/lanePace), dialMaximum) {
		<-p.dialling
		p.lanes++
	}
	p.admit()
}

// Endpoint returns the endpoint.
func (p *Pool) Endpoint() config.Endpoint { return p.options.Endpoint }

// Borrows reports whether the connections are held by other instances.
func (p *Pool) Borrows() bool { return p.options.Borrows }

// Used returns how many connections are in the hands of sessions.
func (p *Pool) Used() int { return p.queue.Used() }

// Resize changes how many connections may be open.
func (p *Pool) Resize(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window = p.window.WithLimit(limit)
	p.admit()
}

// Close closes the idle connections; those in use are closed as they come back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.discard()
}

// Discard closes the idle connections, as when one of them was found to be silent.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discard()
}

func (p *Pool) discard() {
	for _, h := range p.idle {
		h.Close()
	}
	p.idle = nil
}

// Acquire returns a connection, if possible one that has a session's settings; errors are verdict errors for not run.
func (p *Pool) Acquire(ctx context.Context, class limit.Class, deadline time.Time, settings map[string]string) (*PooledConn, error) {
	p.grow()
	if err := p.queue.Admit(ctx, class, deadline); err != nil {
		return nil, err
	}
	h := p.take(settings)
	if h == nil {
		var err error
		if h, err = p.open(ctx, deadline, settings); err != nil {
			p.queue.Release(0)
			return nil, err
		}
	}
	if c, ok := h.Conn.(ClassSetter); ok {
		c.SetClass(class)
	}
	return h, nil
}

// open makes a connection, unless one came back while another was being made.
func (p *Pool) open(ctx context.Context, deadline time.Time, settings map[string]string) (*PooledConn, error) {
	select {
	case p.dialling <- struct{}{}:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
	case <-p.options.Clock.After(deadline.Sub(p.options.Clock.Now()) - dialLeast):
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no connection to the endpoint in time")
	}
	defer func() { <-p.dialling }()
	if h := p.take(settings); h != nil {
		return h, nil
	}
	return p.dial(ctx, deadline)
}

// Trim closes connections that have not been needed for a while, but keeps one.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for len(p.idle) > 1 && now.Sub(p.idle[0].idleSince) > max(idleLimit, idleTrips*p.roundTrip) {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// take returns an idle connection that still stands, nil when there is none.
func (p *Pool) take(settings map[string]string) *PooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, h := range p.idle {
		if !h.broken() {
			kept = append(kept, h)
		}
	}
	p.idle = kept
	if len(kept) == 0 {
		return nil
	}
	best := len(kept) - 1
	for i := len(kept) - 1; i >= 0; i-- {
		if maps.Equal(kept[i].settings, settings) {
			best = i
			break
		}
	}
	h := kept[best]
	p.idle = append(kept[:best], kept[best+1:]...)
	return h
}

func (p *Pool) dial(ctx context.Context, deadline time.Time) (*PooledConn, error) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	allowed, pause := p.circuit.Allows(now), p.circuit.Remaining(now)
	cut := p.options.Detour != nil && now.Before(p.cutUntil)
	p.mu.Unlock()
	if !allowed && !cut {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint can't be reached").WithAfter(pause)
	}
	if !now.Before(deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Overload, "no connection before the deadline")
	}
	conn, err := p.connect(ctx, deadline)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.circuit = p.circuit.WithFailure(p.options.Clock.Now())
		p.options.Logger.Log(event.ConnectionFailed, log.Fields{
			"endpoint": p.options.Endpoint.Name, "address": p.options.Endpoint.Address, "error": err.Error(),
		})
		return nil, err
	}
	p.circuit = p.circuit.WithSuccess()
	p.learn(conn.RoundTrip())
	p.options.Logger.Log(event.ConnectionOpened, log.Fields{"endpoint": p.options.Endpoint.Name})
	return &PooledConn{Conn: conn, pool: p}, nil
}

// Release takes a connection back after it was held for a time; one that broke, or whose transaction did not end, is
// closed.
func (p *Pool) Release(h *PooledConn, reuse bool, took time.Duration) {
	h.setResting(false)
	// The wait of those in the queue depends on how long connections are at work.
	took, h.idleInTxTotal = max(took-h.idleInTxTotal, 0), 0
	p.mu.Lock()
	if !reuse || h.broken() || p.closed {
		h.Close()
	} else {
		h.idleSince = p.options.Clock.Now()
		p.idle = append(p.idle, h)
	}
	p.mu.Unlock()
	p.queue.Release(took)
}
