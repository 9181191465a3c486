package connection

import (
	"context"
	"maps"
	"slices"
	"time"

	"siskincove/verdict"
)

// waiter is a statement that waits for a connection of its workspace.
type waiter struct {
	demand Demand
	// released gets a connection of the workspace that another statement has released.
	released chan *PooledConn
	// patience is how long to wait for one before another is opened.
	patience time.Duration
}

// errTooLate refuses a statement that can't get a connection in time. Among the statements of several workspaces that is a lack of
// capacity, which says nothing about the endpoint.
func (p *Pool) errTooLate(w *waiter) error {
	if !p.options.ByWorkspace {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "timed out waiting to open a connection to the endpoint")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := max(slices.Index(p.waiters, w), 0)
	return p.tooLateLocked(ahead)
}

// tooLateLocked refuses a statement for lack of time, with so many others that open connections before it. p.mu must be held.
func (p *Pool) tooLateLocked(ahead int) *verdict.Error {
	openTime := p.openTime
	if openTime == 0 {
		openTime = minDialTime
	}
	return verdict.New(verdict.NotRun, verdict.Overload, "no time left to open a connection to the endpoint").
		WithRetryAfter(time.Duration(ahead+1) * openTime)
}

// errGaveUp refuses a statement whose caller has gone.
func errGaveUp() error { return verdict.New(verdict.NotRun, verdict.Canceled, "caller gave up") }

// errPoolClosed refuses a statement that needs a new connection of a closed pool.
func errPoolClosed() error {
	return verdict.New(verdict.NotRun, verdict.Leaving, "connections to the endpoint are no longer opened here")
}

// takeOrOpen returns a connection of the demand's workspace: an idle one, one that is released meanwhile or a new one.
func (p *Pool) takeOrOpen(ctx context.Context, d Demand) (*PooledConn, error) {
	h, w := p.takeOrWait(d)
	if h != nil {
		return h, nil
	}
	defer p.stopWaiting(w)
	latest := p.options.Clock.After(d.Deadline.Sub(p.options.Clock.Now()) - minDialTime)
	if w.patience > 0 {
		select {
		case h := <-w.released:
			return h, nil
		case <-p.options.Clock.After(w.patience):
		case <-latest:
			return nil, p.errTooLate(w)
		case <-p.closing:
			return nil, errPoolClosed()
		case <-ctx.Done():
			return nil, errGaveUp()
		}
	}
	select {
	case h := <-w.released:
		return h, nil
	case p.dialSlots <- struct{}{}:
	case <-latest:
		return nil, p.errTooLate(w)
	case <-p.closing:
		return nil, errPoolClosed()
	case <-ctx.Done():
		return nil, errGaveUp()
	}
	defer func() { <-p.dialSlots }()
	for {
		if h, err := p.awaitPlace(ctx, w, latest); h != nil || err != nil {
			return h, err
		}
		h, err := p.open(ctx, d)
		if !p.isRefusedAsFull(err) {
			return h, err
		}
		p.waitAgain(w)
	}
}

// awaitPlace reserves a place for a new connection as soon as the limit allows one. It returns a connection instead if one
// of the workspace is released before.
func (p *Pool) awaitPlace(ctx context.Context, w *waiter, latest <-chan time.Time) (*PooledConn, error) {
	for {
		reserved, freed := p.tryReserve(w)
		if reserved {
			return nil, nil
		}
		remaining, err := p.checkRoom()
		if err != nil {
			return nil, err
		}
		var roomAgain <-chan time.Time
		if remaining > 0 {
			roomAgain = p.options.Clock.After(remaining)
		}
		select {
		case h := <-w.released:
			return h, nil
		case <-freed:
		case <-roomAgain:
		case <-latest:
			return nil, p.errTooLate(w)
		case <-p.closing:
			return nil, errPoolClosed()
		case <-ctx.Done():
			return nil, errGaveUp()
		}
	}
}

// tryReserve reserves a place for a new connection and ends the wait for another, unless one was released already or the limit
// is reached. Otherwise it returns a channel that is closed when that may have changed.
func (p *Pool) tryReserve(w *waiter) (bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed && p.options.ByWorkspace {
		return false, p.placeFreed
	}
	if len(w.released) == 0 && !p.options.ByWorkspace {
		if h := p.takeIdle(w.demand); h != nil {
			w.released <- h
		}
	}
	if len(w.released) > 0 || !p.reserve(w.demand.Workspace) {
		return false, p.placeFreed
	}
	p.removeWaiter(w)
	return true, nil
}

// open opens a connection for which a place is reserved.
func (p *Pool) open(ctx context.Context, d Demand) (*PooledConn, error) {
	h, err := p.dial(ctx, d.Workspace, d.Deadline)
	if err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.freePlace(d.Workspace)
	}
	return h, err
}

// takeOrWait returns an idle connection, or a registered waiter if there is none.
func (p *Pool) takeOrWait(d Demand) (*PooledConn, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.takeIdle(d); h != nil {
		return h, nil
	}
	w := &waiter{demand: d, released: make(chan *PooledConn, 1), patience: p.shortage(d.Workspace).patience()}
	p.addWaiter(w)
	return nil, w
}

// addWaiter registers a waiter. p.mu must be held.
func (p *Pool) addWaiter(w *waiter) {
	p.waiters = append(p.waiters, w)
	p.usage.addWaiting(w.demand.Workspace, 1)
}

// waitAgain registers a waiter again whose new connection the endpoint has refused.
func (p *Pool) waitAgain(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addWaiter(w)
}

// shortage describes the lack of an idle connection of a workspace. p.mu must be held.
func (p *Pool) shortage(workspace string) shortage {
	if p.options.Borrows || !p.options.ByWorkspace {
		return shortage{}
	}
	u := p.usage.of(workspace)
	return shortage{
		serviceTime: p.queue.ServiceTime(), openTime: p.openTime, running: u.inUse - u.idleInTx, ahead: u.waiting,
		evicts: p.usage.open >= p.limit, contended: p.queue.Waiting() > 0,
	}
}

// stopWaiting removes a waiter, and stores a connection that it got too late.
func (p *Pool) stopWaiting(w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWaiter(w)
	select {
	case h := <-w.released:
		p.keepIdle(h)
	default:
	}
}

// removeWaiter removes a waiter unless that was done before. p.mu must be held.
func (p *Pool) removeWaiter(w *waiter) {
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.usage.addWaiting(w.demand.Workspace, -1)
	}
}

// handOver passes a released connection to the first statement that waits for one of its workspace, and returns false if none
// does. Without workspaces that statement takes it as soon as it may open one. p.mu must be held.
func (p *Pool) handOver(h *PooledConn) bool {
	if !p.options.ByWorkspace {
		return false
	}
	for _, w := range p.waiters {
		if w.demand.Workspace == h.workspace {
			p.removeWaiter(w)
			w.released <- h
			p.countReused()
			return true
		}
	}
	return false
}

// takeIdle returns an idle connection of the demand's workspace that is not broken, the most recently used one that has its
// settings if there is one. It returns nil if there is none. p.mu must be held.
func (p *Pool) takeIdle(d Demand) *PooledConn {
	p.dropBroken()
	best := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].workspace != d.Workspace {
			continue
		}
		if best < 0 {
			best = i
		}
		if maps.Equal(p.idle[i].session.settings, d.Settings) {
			best = i
			break
		}
	}
	if best < 0 {
		return nil
	}
	h := p.idle[best]
	p.idle = append(p.idle[:best], p.idle[best+1:]...)
	p.usage.addInUse(d.Workspace, 1)
	p.countIdle(-1)
	p.countReused()
	return h
}

// hasIdle reports whether a connection of a workspace is idle. p.mu must be held.
func (p *Pool) hasIdle(workspace string) bool {
	return slices.ContainsFunc(p.idle, func(h *PooledConn) bool { return h.workspace == workspace })
}
