package connection

import (
	"context"
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

// workspaceIdleTimeout is the same for a pool with connections of several workspaces, where it concerns those beyond the last
// one of a workspace: the limit bounds them, and opening one again takes a slot.
const workspaceIdleTimeout = 15 * time.Second

// idleRoundTrips is the minimum time to keep unused connections, in round trips. Opening a connection takes three.
const idleRoundTrips = 40

// windowGrowthTime is longer than a window takes to grow to its limit.
const windowGrowthTime = time.Minute

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
	// ByWorkspace is set if the pool has connections of several workspaces.
	ByWorkspace bool
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

	mu sync.Mutex
	// idle are the connections that are not in use, in the order of their release.
	idle []*PooledConn
	// usage counts the connections and waiting statements.
	usage usage
	// waiters are the statements that wait for a connection of their workspace, in order of arrival.
	waiters []*waiter
	// placeFreed is closed and replaced when a connection is closed or becomes idle.
	placeFreed chan struct{}
	evictions  evictionLog
	circuit    limit.Circuit
	ceiling    ceiling
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
	flight flight
	// idleInTx is the number of connections in transactions that await their next statement. They take no slot of the
	// endpoint.
	idleInTx int
	// openTime is the mean time that opening a connection takes, 0 if unknown.
	openTime time.Duration
	closed   bool
	// closing is closed with the pool if its connections are of several workspaces, so that nothing opens one beside those of
	// the pool that succeeds it.
	closing chan struct{}
	// redialDone is closed when the last attempt to connect in the background has ended.
	redialDone chan struct{}
}

// New returns a pool without connections.
func New(o Options) *Pool {
	if o.Context == nil {
		o.Context = context.Background()
	}
	p := &Pool{
		options: o, queue: queue.New(1, o.Clock), dialSlots: make(chan struct{}, maxConcurrentDials), maxDials: initialDials(o),
		usage: newUsage(), placeFreed: make(chan struct{}), closing: make(chan struct{}), limit: o.Limit, window: initialWindow(o), circuit: limit.NewCircuit(maxRedialPause), redialDone: make(chan struct{}),
	}
	close(p.redialDone)
	p.ctx, p.cancel = context.WithCancel(o.Context)
	for range maxConcurrentDials - p.maxDials {
		p.dialSlots <- struct{}{}
	}
	return p
}

// initialDials returns how many connections may be opened at once while the round-trip time is unknown. Borrowed ones of
// several workspaces come from several holders, and one that does not answer must not delay the others.
func initialDials(o Options) int {
	if o.Borrows && o.ByWorkspace {
		return maxConcurrentDials
	}
	return 1
}

// initialWindow returns the window of a new pool. It grows from the least size, unless the endpoint has few holders whose statements
// in flight are bounded anyway.
func initialWindow(o Options) limit.Window {
	start := o.Clock.Now()
	if o.ByWorkspace && o.InFlight > 0 {
		start = start.Add(-windowGrowthTime)
	}
	return limit.NewWindow(windowLimit(o.Limit, o.InFlight), start)
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

// Serves reports whether the pool has connections of the kind that options describe: its own or borrowed ones, and of one
// workspace or several.
func (p *Pool) Serves(o Options) bool {
	return p.options.Borrows == o.Borrows && p.options.ByWorkspace == o.ByWorkspace
}

// Used returns the number of acquired connections.
func (p *Pool) Used() int { return p.queue.Used() }

// Resize sets the maximum number of open connections, and of statements in flight as Options.InFlight does.
func (p *Pool) Resize(limit, inFlight int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.window = p.window.WithLimit(windowLimit(limit, inFlight))
	p.updateCapacityLocked()
	p.closeExcess()
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
	if !p.closed && p.options.ByWorkspace {
		close(p.closing)
	}
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
	for len(p.idle) > 0 {
		p.closeIdleAt(0)
	}
}

// Done returns a channel that is closed once the last attempt to connect in the background has ended.
func (p *Pool) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.redialDone
}

// Acquire returns a connection of the demand's workspace, preferring one that has the demand's settings. It fails at once while
// the endpoint can't be reached. Errors are verdict errors with NotRun.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*PooledConn, error) {
	p.growWindow()
	if err := p.checkReachable(d.Workspace); err != nil {
		return nil, err
	}
	if err := p.admit(ctx, d); err != nil {
		return nil, err
	}
	h, err := p.takeOrOpen(ctx, d)
	if err != nil {
		p.queue.Release(0)
		return nil, err
	}
	if c, ok := h.Conn.(ClassSetter); ok {
		c.SetClass(d.Class, d.Target)
	}
	return h, nil
}

// admit waits for a slot.
func (p *Pool) admit(ctx context.Context, d Demand) error {
	addQueued := func(delta int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.usage.addQueued(d.Workspace, delta)
	}
	addQueued(1)
	defer addQueued(-1)
	return p.queue.Admit(ctx, limit.Request{Class: d.Class, Flow: d.Flow, Target: d.Target, Deadline: d.Deadline})
}

// Crowded reports whether a workspace alone has more statements here than may be in flight at the endpoint.
func (p *Pool) Crowded(workspace string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage.of(workspace).exceeds(p.window.Limit())
}

// Trim closes connections that have been idle for too long.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	for i := 0; i < len(p.idle); {
		if now.Sub(p.idle[i].idleSince) <= p.idleTimeout() {
			return
		}
		if p.keepsIdle(p.idle[i]) {
			i++
			continue
		}
		p.closeIdleAt(i)
	}
}

// idleTimeout returns after what time an idle connection counts as unused. p.mu must be held.
func (p *Pool) idleTimeout() time.Duration {
	if p.options.ByWorkspace {
		return workspaceIdleTimeout
	}
	return max(idleTimeout, idleRoundTrips*p.roundTrip)
}

// keepsIdle reports whether a connection is kept though it has not been used for a while: the last one of the pool, or of its
// workspace where the limit divides the connections among workspaces. A borrowed connection is opened again at no cost. p.mu
// must be held.
func (p *Pool) keepsIdle(h *PooledConn) bool {
	if p.options.ByWorkspace {
		return !p.options.Borrows && p.usage.of(h.workspace).open == 1
	}
	return len(p.idle) == 1
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
		p.recordOpenTime(p.options.Clock.Now().Sub(now))
	case ctx.Err() != nil:
		return nil, errGaveUp()
	case p.isCutShort(err, limits, bounded, deadline):
		return nil, p.tooLateLocked(len(p.waiters)).WithCause(err)
	default:
		p.recordDialFailure(workspace, err, bounded.connect == limits.connect)
		return nil, err
	}
	p.recordDialSuccess(conn, now)
	return &PooledConn{Conn: conn, pool: p, workspace: workspace}, nil
}

// keepIdle passes a connection to the first statement that waits for one of its workspace, or stores it. It closes the
// connection if the pool is closed. p.mu must be held.
func (p *Pool) keepIdle(h *PooledConn) {
	if p.closed {
		p.closeInUse(h)
		return
	}
	if p.handOver(h) {
		return
	}
	p.usage.addInUse(h.workspace, -1)
	h.idleSince = p.options.Clock.Now()
	p.idle = append(p.idle, h)
	p.countIdle(1)
	p.closeExcess()
	p.notifyPlaceFreed()
}

// Release returns a connection that was in use for the time took. The connection is closed if it is broken, if its transaction did not
// end or if it must not be reused for another reason.
func (p *Pool) Release(h *PooledConn, reuse bool, took time.Duration) {
	h.setIdleInTx(false)
	reuse = reuse && !h.InTransaction()
	// The queue estimates waiting times from the time that connections spend on statements.
	took, h.idleInTxTotal = max(took-h.idleInTxTotal, 0), 0
	if !reuse && p.options.ByWorkspace {
		// How long an answer did not come says nothing about the time that others take.
		took = 0
	}
	p.mu.Lock()
	if !reuse || h.isBroken() {
		p.closeInUse(h)
	} else {
		p.keepIdle(h)
	}
	p.mu.Unlock()
	p.queue.Release(took)
}
