package allotment

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/member"
	"siskincove/peer/wire"
)

const (
	// reviewInterval is how often a keeper checks which accounts it keeps, and firstReviewInterval the same while it settles.
	reviewInterval      = 500 * time.Millisecond
	firstReviewInterval = 100 * time.Millisecond
)

// Keeper keeps this instance's accounts and answers requests for operations.
type Keeper struct {
	options Options
	started time.Time
	done    chan struct{}

	mu       sync.Mutex
	accounts map[string]Account
	// closed holds the accounts closed within the last window.
	closed map[string]closing
}

// closing is the end of an account.
type closing struct {
	at time.Time
	// left is what the account held.
	left float64
}

// NewKeeper starts a keeper that stops when ctx ends.
func NewKeeper(ctx context.Context, o Options) *Keeper {
	k := &Keeper{options: o, started: o.Clock.Now(), done: make(chan struct{}), accounts: make(map[string]Account), closed: make(map[string]closing)}
	go k.reviewLoop(ctx)
	return k
}

// Done returns a channel that is closed when the keeper has stopped.
func (k *Keeper) Done() <-chan struct{} { return k.done }

func (k *Keeper) reviewLoop(ctx context.Context) {
	defer close(k.done)
	for {
		k.review()
		interval := reviewInterval
		if k.options.Clock.Now().Sub(k.started) < settleTime {
			interval = firstReviewInterval
		}
		if clock.Wait(ctx, k.options.Clock, interval) != nil {
			return
		}
	}
}

// review opens and closes accounts according to this instance's rank, and applies changed allotments.
func (k *Keeper) review() {
	defer k.options.Logger.Contain("allotment")
	catalog := k.options.Catalog()
	if catalog == nil {
		return
	}
	probes := make(map[string]bool)
	for _, w := range catalog.Set.Workspaces {
		_, unmet := k.check(w.Name)
		for _, i := range unmet {
			probes[i.Address] = true
		}
	}
	k.closeRemoved(catalog)
	for address := range probes {
		k.options.Members.ProbeSoon(address)
	}
}

// closeRemoved closes the accounts of workspaces that are no longer configured, and forgets those closed before the last window.
func (k *Keeper) closeRemoved(catalog *config.Catalog) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.options.Clock.Now()
	for name := range k.accounts {
		if _, ok := catalog.Workspace(name); !ok {
			k.close(name, now)
		}
	}
	maps.DeleteFunc(k.closed, func(_ string, c closing) bool { return now.Sub(c.at) > k.options.Bounds.Window+maxLifetime })
}

// check opens, closes or updates the account of a workspace. It returns as account does.
func (k *Keeper) check(workspace string) (kept bool, unmet []member.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account(workspace)
}

// account returns whether this instance keeps an account of a workspace, and opens, closes or updates it. It also returns the
// instances that must answer first. k.mu must be held, and all that decides is read under it, so that an older decision can't undo a
// newer one.
func (k *Keeper) account(workspace string) (kept bool, unmet []member.Instance) {
	o := k.options
	catalog := o.Catalog()
	if catalog == nil {
		return false, nil
	}
	w, ok := catalog.Workspace(workspace)
	if !ok || !limits(w) {
		return false, nil
	}
	share := Divide(w, o.Bounds, len(o.Regions))
	now := o.Clock.Now()
	a, open := k.accounts[workspace]
	_, rosterKnown := o.Members.InstanceCount()
	standing := Standing{ID: o.Self.ID, Listed: o.WasListed(), RosterKnown: rosterKnown, Age: now.Sub(k.started), Keeping: open}
	candidates := ranked(o.Members.Known(), workspace, k.region(), Candidates(share.PerRegion))
	kept, unmet = standing.Keeps(candidates, share.PerRegion)
	switch {
	case kept && !open:
		k.accounts[workspace] = k.opened(workspace, share, standing, now)
		o.Logger.Log(event.AccountOpened, log.Fields{"workspace": workspace, "rate": share.Rate, "capacity": share.Capacity})
	case kept && a.bucket.share != share:
		k.accounts[workspace] = a.WithShare(share, now)
	case !kept && open:
		k.close(workspace, now)
		o.Logger.Log(event.AccountClosed, log.Fields{"workspace": workspace})
	}
	return kept, unmet
}

// opened returns an account that is opened now. After a restart it gains operations from the start on, as nothing else has granted
// any of it since then. One that was closed within the last window starts with no more than it held, since the
// reserve pays only for restarts.
func (k *Keeper) opened(workspace string, share Share, s Standing, now time.Time) Account {
	before, closed := k.closed[workspace]
	switch {
	case closed && now.Sub(before.at) <= k.options.Bounds.Window+maxLifetime:
		a := NewAccount(share, now)
		a.bucket.tokens = min(share.Initial, before.left)
		return a
	case s.Listed && s.Age <= settleTime+reviewInterval:
		return NewAccount(share, k.started)
	default:
		return NewAccount(share, now)
	}
}

// close closes an account; k.mu must be held.
func (k *Keeper) close(workspace string, now time.Time) {
	k.closed[workspace] = closing{at: now, left: max(0, k.accounts[workspace].bucket.advanced(now).available(now))}
	delete(k.accounts, workspace)
}

// region returns the region whose accounts this instance may keep.
func (k *Keeper) region() string {
	if len(k.options.Regions) == 1 {
		return k.options.Regions[0]
	}
	return config.Region(k.options.Self.Domain)
}

// limits reports whether a workspace's operations are limited.
func limits(w config.Workspace) bool { return w.Rate > 0 || w.Burst > 0 }

// Serve answers a request for operations.
func (k *Keeper) Serve(draw *wire.Draw) *wire.Grant {
	out := &wire.Grant{}
	for _, claim := range draw.GetClaims() {
		g := k.draw(claim.GetWorkspace(), int(claim.GetWanted()), int(claim.GetAhead()))
		out.Portions = append(out.Portions, &wire.Portion{
			Workspace: claim.GetWorkspace(), Granted: uint32(g.Granted), Lifetime: uint64(g.Lifetime.Microseconds()),
			After: uint64(g.After.Microseconds()), Absent: g.Absent,
		})
	}
	return out
}

// draw answers a request for operations of a workspace.
func (k *Keeper) draw(workspace string, wanted, ahead int) Grant {
	k.mu.Lock()
	defer k.mu.Unlock()
	if kept, _ := k.account(workspace); !kept {
		return Grant{Absent: true}
	}
	a := k.accounts[workspace]
	a, g := a.WithDraw(wanted, ahead, k.options.Clock.Now())
	k.accounts[workspace] = a
	return g
}

// Open returns the number of accounts that this instance keeps.
func (k *Keeper) Open() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.accounts)
}
