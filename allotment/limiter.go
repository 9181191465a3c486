package allotment

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

const (
	// maxWait is the longest time that an operation waits for an account.
	maxWait = 300 * time.Millisecond
	// askTimeout is how long an account may take to answer.
	askTimeout = 100 * time.Millisecond
	// askAgainInterval is the pause until accounts are asked again if none answers.
	askAgainInterval = 50 * time.Millisecond
	// unreachableRetryAfter is when to retry after no account has answered.
	unreachableRetryAfter = 250 * time.Millisecond
)

// Limiter lets this instance start operations of workspaces as far as their accounts grant them. It implements
// dispatch.Allotments.
type Limiter struct {
	options Options
	keeper  *Keeper
	ctx     context.Context
	running sync.WaitGroup
	done    chan struct{}

	mu      sync.Mutex
	desks   map[string]*openDesk
	stopped bool
	// catalog is the configuration whose workspaces may have desks.
	catalog *config.Catalog
}

// openDesk is a workspace's desk with the callers that wait at it.
type openDesk struct {
	*Desk
	waiters []*waiter
	// placement and perRegion are those for which the desk's accounts were determined.
	placement *member.Placement
	perRegion int
	// asksAgain is set while a goroutine waits to ask again.
	asksAgain bool
}

// waiter is a caller that waits for an operation.
type waiter struct {
	// result receives the outcome.
	result chan result
}

// result is the outcome for a caller: until when the operation may start, or why it must not.
type result struct {
	expires time.Time
	refused *verdict.Error
}

// NewLimiter returns a limiter that works until ctx ends. keeper keeps the accounts of this instance.
func NewLimiter(ctx context.Context, o Options, keeper *Keeper) *Limiter {
	l := &Limiter{options: o, keeper: keeper, ctx: ctx, done: make(chan struct{}), desks: make(map[string]*openDesk)}
	go func() {
		defer close(l.done)
		<-ctx.Done()
		l.stop()
		l.running.Wait()
	}()
	return l
}

// stop keeps further tasks from being started.
func (l *Limiter) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// Done returns a channel that is closed once ctx has ended and no request is in flight.
func (l *Limiter) Done() <-chan struct{} { return l.done }

// Take counts an operation of a workspace. It waits until deadline at most for an account, and returns why the operation must not
// run, or a function that gives it back if it was not started.
func (l *Limiter) Take(ctx context.Context, w config.Workspace, deadline time.Time) (func(), *verdict.Error) {
	if !limits(w) {
		return func() {}, nil
	}
	started := l.options.Clock.Now()
	r := l.wait(ctx, w, started, deadline)
	countOperation(r.refused, l.options.Clock.Now().Sub(started))
	if r.refused != nil {
		return nil, r.refused
	}
	return func() { l.giveBack(w, r.expires) }, nil
}

// wait returns the outcome for an operation.
func (l *Limiter) wait(ctx context.Context, w config.Workspace, now, deadline time.Time) result {
	l.mu.Lock()
	l.closeRemoved()
	d := l.desk(w)
	if expires, ok := d.Arrive(now); ok {
		l.advance(d, now)
		l.mu.Unlock()
		return result{expires: expires}
	}
	self := &waiter{result: make(chan result, 1)}
	d.waiters = append(d.waiters, self)
	l.advance(d, now)
	l.mu.Unlock()
	select {
	case r := <-self.result:
		return r
	case <-ctx.Done():
	case <-l.options.Clock.After(min(maxWait, deadline.Sub(now))):
	}
	return l.giveUp(ctx, d, self)
}

// giveUp ends the wait of a caller. It returns the outcome if there is one by now.
func (l *Limiter) giveUp(ctx context.Context, d *openDesk, w *waiter) result {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case r := <-w.result:
		return r
	default:
	}
	d.waiters = slices.DeleteFunc(d.waiters, func(other *waiter) bool { return other == w })
	d.GiveUp()
	if ctx.Err() != nil {
		return result{refused: verdict.New(verdict.NotRun, verdict.Unreachable, "caller gave up before an account of workspace %s answered", d.workspace.Name).
			WithCause(ctx.Err()).WithRetryAfter(unreachableRetryAfter)}
	}
	return result{refused: verdict.New(verdict.NotRun, verdict.Unreachable, "no account of workspace %s answers", d.workspace.Name).WithRetryAfter(unreachableRetryAfter)}
}

// closeRemoved removes the desks of workspaces that are no longer configured; l.mu must be held. Callers that wait at one are
// still answered.
func (l *Limiter) closeRemoved() {
	catalog := l.options.Catalog()
	if catalog == nil || catalog == l.catalog {
		return
	}
	l.catalog = catalog
	maps.DeleteFunc(l.desks, func(name string, _ *openDesk) bool {
		_, ok := catalog.Workspace(name)
		return !ok
	})
}

// desk returns the desk of a workspace, a new one after a change of its allotment; l.mu must be held.
func (l *Limiter) desk(w config.Workspace) *openDesk {
	d, ok := l.desks[w.Name]
	if !ok {
		d = &openDesk{Desk: NewDesk(w, l.options.Bounds, len(l.options.Regions))}
		l.desks[w.Name] = d
	}
	d.SetWorkspace(w, l.options.Bounds, len(l.options.Regions))
	if known := l.options.Members.Known(); known != d.placement || d.perRegion != d.share.PerRegion {
		d.placement, d.perRegion = known, d.share.PerRegion
		var addresses []string
		for _, i := range Nearest(known, w.Name, d.share.PerRegion, l.options.Regions, l.options.Self) {
			addresses = append(addresses, i.Address)
		}
		d.SetAccounts(addresses)
	}
	return d
}

// advance serves the waiting callers of a desk, asks accounts for them or refuses them; l.mu must be held.
func (l *Limiter) advance(d *openDesk, now time.Time) {
	for len(d.waiters) > 0 {
		expires, ok := d.Serve(now)
		if !ok {
			break
		}
		d.finish(result{expires: expires})
	}
	asks, outcome := d.Next(now)
	for _, a := range asks {
		l.start(func() { l.ask(d, a) })
	}
	switch outcome {
	case Exhausted:
		for len(d.waiters) > 0 {
			d.finish(result{refused: verdict.New(verdict.NotRun, verdict.Allotment, "workspace %s has used its allotment", d.workspace.Name).
				WithRetryAfter(d.Refuse(now))})
		}
	case Unreachable:
		l.askAgain(d)
	}
}

// finish ends the wait of the first caller.
func (d *openDesk) finish(r result) {
	d.waiters[0].result <- r
	d.waiters = d.waiters[1:]
}

// start runs a task unless the limiter has stopped; l.mu must be held.
func (l *Limiter) start(task func()) {
	if l.stopped {
		return
	}
	l.running.Go(func() {
		defer l.options.Logger.Contain("allotment")
		task()
	})
}

// askAgain advances a desk after a pause; l.mu must be held.
func (l *Limiter) askAgain(d *openDesk) {
	if d.asksAgain {
		return
	}
	d.asksAgain = true
	l.start(func() {
		_ = clock.Wait(l.ctx, l.options.Clock, askAgainInterval)
		l.mu.Lock()
		defer l.mu.Unlock()
		d.asksAgain = false
		l.advance(d, l.options.Clock.Now())
	})
}

// ask requests operations from an account and records the answer.
func (l *Limiter) ask(d *openDesk, a Ask) {
	sent := l.options.Clock.Now()
	g, err := l.call(d.workspace.Name, a)
	now := l.options.Clock.Now()
	countDraw(a, g, err)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.recordSilence(d, a, err, now)
	} else {
		d.Answered(a, g, sent, now)
	}
	l.advance(d, now)
}

// recordSilence records for all workspaces that an instance did not answer; l.mu must be held.
func (l *Limiter) recordSilence(d *openDesk, a Ask, err error, now time.Time) {
	l.options.Logger.Log(event.AccountSilent, log.Fields{"workspace": d.workspace.Name, "address": a.Address, "wanted": a.Wanted, "error": err.Error()})
	d.Unanswered(a)
	for _, other := range l.desks {
		other.Avoid(a.Address, now)
	}
	l.options.Members.ProbeSoon(a.Address)
}

// call sends a request for operations to an account.
func (l *Limiter) call(workspace string, a Ask) (Grant, error) {
	if a.Address == l.options.Self.Address {
		return l.keeper.draw(workspace, a.Wanted, a.Ahead), nil
	}
	ctx, cancel := context.WithTimeout(l.ctx, askTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, l.options.Dialer, a.Address, &wire.Frame{Body: &wire.Frame_Draw{Draw: &wire.Draw{
		Claims: []*wire.Claim{{Workspace: workspace, Wanted: uint32(a.Wanted), Ahead: uint32(a.Ahead)}},
	}}})
	if err != nil {
		return Grant{}, err
	}
	portions := reply.GetGrant().GetPortions()
	if len(portions) != 1 || portions[0].GetWorkspace() != workspace {
		return Grant{}, errors.Newf("%s answered without a portion of %s", a.Address, workspace)
	}
	p := portions[0]
	return Grant{
		Granted: int(p.GetGranted()), Lifetime: time.Duration(p.GetLifetime()) * time.Microsecond,
		After: time.Duration(p.GetAfter()) * time.Microsecond, Absent: p.GetAbsent(),
	}, nil
}

// giveBack lets another caller start an operation that was not started.
func (l *Limiter) giveBack(w config.Workspace, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.desks[w.Name]; !open {
		return
	}
	d := l.desk(w)
	d.Return(expires)
	l.advance(d, l.options.Clock.Now())
}
