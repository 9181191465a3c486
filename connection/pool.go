package connection

import (
	"context"
	"maps"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/queue"
	"siskincove/verdict"
)

// idleTimeout is how long unused connections are kept, except for the last one. It is short because an endpoint still
// counts an instance's connections for some seconds after the instance lost power. It is longer than the pause between
// bursts of requests.
const idleTimeout = 2 * time.Second

// idleRoundTrips is the minimum time to keep unused connections, in round trips. Opening a connection takes three.
const idleRoundTrips = 40

const (
	// maxConcurrentDials bounds the connections opened at once to a distant endpoint, where the network takes most of
	// the time. One more is allowed for each roundTripPerDial of round-trip time, which is about the time that the
	// endpoint spends on a new connection.
	maxConcurrentDials = 4
	roundTripPerDial   = 25 * time.Millisecond
	// minDialTime is the minimum time before a deadline in which opening a connection is worthwhile. It costs the
	// endpoint 12 to 27 ms of work, and then the statement has to run.
	minDialTime = 40 * time.Millisecond
)

// Options configures a Pool.
type Options struct {
	Endpoint config.Endpoint
	Dialer   Dialer
	Clock    clock.Service
	Logger   *event.Logger
	// Limit is the maximum number of open connections.
	Limit int
	// InFlight is the maximum number of statements in flight at the endpoint, 0 for Limit.
	InFlight int
	// Borrows is set if the dialer borrows connections that other instances hold.
	Borrows bool
	// Detour, if set, is used while the endpoint can't be reached directly.
	Detour Detour
	// Context bounds the attempts to connect that are not made for one statement; nil means no bound.
	Context context.Context
}

// Pool manages the connections to one endpoint.
type Pool struct {
	options Options
	queue   *queue.Queue
	// ctx ends when the pool is closed.
	ctx    context.Context
	cancel context.CancelFunc

	// dialSlots is full while the maximum number of connections is being opened. Each new connection occupies a slot of
	// the endpoint for a while, so many opened at once would occupy all slots.
	dialSlots chan struct{}

	mu      sync.Mutex
	idle    []*PooledConn
	circuit limit.Circuit
	// unreachableUntil is until when the direct path is assumed to fail.
	unreachableUntil time.Time
	// roundTrip is the round-trip time of the last connection opened, 0 if unknown.
	roundTrip time.Duration
	// maxDials is how many connections may be opened at once. The remaining capacity of dialSlots is filled.
	maxDials int
	// limit is the maximum number of open connections, and window bounds those in use at once to what the endpoint's slots
	// allow.
	limit  int
	window limit.Window
	// idleInTx is the number of connections in transactions that await their next statement. They take no slot of the
	// endpoint.
	idleInTx int
	// lastWorkspace is the workspace of the last demand, for which the pool reconnects in the background.
	lastWorkspace string
	closed        bool
	// redialDone is closed when the last attempt to connect in the background has ended.
	redialDone chan struct{}
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.Context == nil {
		o.Context = context.Background()
	}
	p := &Pool{
		options: o, queue: queue.New(1, o.Clock), dialSlots: make(chan struct{}, maxConcurrentDials), maxDials: 1,
		limit: o.Limit, window: limit.NewWindow(windowLimit(o.Limit, o.InFlight), o.Clock.Now()), circuit: limit.NewCircuit(maxRedialPause), redialDone: make(chan struct{}),
	}
	close(p.redialDone)
	p.ctx, p.cancel = context.WithCancel(o.Context)
	for range maxConcurrentDials - p.maxDials {
		p.dialSlots <- struct{}{}
	}
	return p
}

// recordRoundTrip stores the round-trip time and raises maxDials for a distant endpoint. p.mu must be held.
func (p *Pool) recordRoundTrip(roundTrip time.Duration) {
	if roundTrip == 0 {
		return
	}
	p.roundTrip = roundTrip
	for p.maxDials < min(1+int(roundTrip/roundTripPerDial), maxConcurrentDials) {
		<-p.dialSlots
		p.maxDials++
	}
	p.updateCapacityLocked()
}

// Endpoint returns the endpoint that the pool connects to.
func (p *Pool) Endpoint() config.Endpoint { return p.options.Endpoint }

// Borrows reports whether the connections are held by other instances.
func (p *Pool) Borrows() bool { return p.options.Borrows }

// Used returns the number of acquired connections.
func (p *Pool) Used() int { return p.queue.Used() }

// Resize sets the maximum number of open connections, and of statements in flight as Options.InFlight does.
func (p *Pool) Resize(limit, inFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.window = p.window.WithLimit(windowLimit(limit, inFlight))
	p.updateCapacityLocked()
}

// windowLimit returns the greatest size of the window for a number of connections and of statements in flight.
func windowLimit(limit, inFlight int) int {
	if inFlight == 0 {
		return limit
	}
	return min(limit, inFlight)
}

// Close closes the idle connections. Acquired ones are closed on release.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cancel()
	p.closeIdleLocked()
}

// CloseIdle closes the idle connections, for example after one of them stopped responding.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *Pool) closeIdleLocked() {
	for _, h := range p.idle {
		h.Close()
	}
	p.idle = nil
}

// Done returns a channel that is closed once the last attempt to connect in the background has ended.
func (p *Pool) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.redialDone
}

// Acquire returns a connection of the demand's workspace, preferring one that has the demand's settings. It fails at once while the endpoint can't be
// reached. Errors are verdict errors with NotRun.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*PooledConn, error) {
	p.prepareFor(d)
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	if err := p.queue.Admit(ctx, limit.Request{Class: d.Class, Flow: d.Flow, Target: d.Target, Deadline: d.Deadline}); err != nil {
		return nil, err
	}
	h := p.takeIdle(d)
	if h == nil {
		var err error
		if h, err = p.openOrTakeIdle(ctx, d); err != nil {
			p.queue.Release(0)
			return nil, err
		}
	}
	if c, ok := h.Conn.(ClassSetter); ok {
		c.SetClass(d.Class, d.Target)
	}
	return h, nil
}

// openOrTakeIdle waits until a connection may be opened and opens it, unless another was released in the meantime.
func (p *Pool) openOrTakeIdle(ctx context.Context, d Demand) (*PooledConn, error) {
	select {
	case p.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
	case <-p.options.Clock.After(d.Deadline.Sub(p.options.Clock.Now()) - minDialTime):
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "timed out waiting to open a connection to the endpoint")
	}
	defer func() { <-p.dialSlots }()
	if h := p.takeIdle(d); h != nil {
		return h, nil
	}
	return p.dial(ctx, d.Workspace, d.Deadline)
}

// Trim closes connections that have been idle for too long, but keeps one.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for len(p.idle) > 1 && now.Sub(p.idle[0].idleSince) > max(idleTimeout, idleRoundTrips*p.roundTrip) {
		p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// takeIdle returns an idle connection that is not broken, or nil if there is none.
func (p *Pool) takeIdle(d Demand) *PooledConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, h := range p.idle {
		if !h.isBroken() {
			kept = append(kept, h)
		}
	}
	p.idle = kept
	best := -1
	for i := len(kept) - 1; i >= 0; i-- {
		if kept[i].workspace != d.Workspace {
			continue
		}
		if best < 0 {
			best = i
		}
		if maps.Equal(kept[i].settings, d.Settings) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	h := kept[best]
	p.idle = append(kept[:best], kept[best+1:]...)
	return h
}

func (p *Pool) dial(ctx context.Context, workspace string, deadline time.Time) (*PooledConn, error) {
	now := p.options.Clock.Now()
	p.mu.Lock()
	failed, retryAfter, limits := p.circuit.Failed(), p.circuit.Remaining(now), p.limits()
	p.mu.Unlock()
	if failed {
		return nil, unreachable(retryAfter)
	}
	if !now.Before(deadline) {
		return nil, verdict.New(verdict.NotRun, verdict.Overload, "deadline passed before a connection was opened")
	}
	bounded := limits.until(deadline.Sub(now))
	conn, err := p.connect(ctx, workspace, bounded)
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return nil, verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up")
	default:
		p.recordDialFailure(err, bounded.connect == limits.connect)
		return nil, err
	}
	p.recordDialSuccess(conn)
	return &PooledConn{Conn: conn, pool: p, workspace: workspace}, nil
}

// keepIdle stores a connection for the next statement, or closes it if the pool is closed. p.mu must be held.
func (p *Pool) keepIdle(h *PooledConn) {
	if p.closed {
		h.Close()
		return
	}
	h.idleSince = p.options.Clock.Now()
	p.idle = append(p.idle, h)
}

// Release returns a connection that was in use for the time took. The connection is closed if it is broken or must not
// be reused, for example because its transaction did not end.
func (p *Pool) Release(h *PooledConn, reuse bool, took time.Duration) {
	h.setIdleInTx(false)
	// The queue estimates waiting times from the time that connections spend on statements.
	took, h.idleInTxTotal = max(took-h.idleInTxTotal, 0), 0
	p.mu.Lock()
	if !reuse || h.isBroken() {
		h.Close()
	} else {
		p.keepIdle(h)
	}
	p.mu.Unlock()
	p.queue.Release(took)
}
