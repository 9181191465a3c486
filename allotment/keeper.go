package allotment

import (
	"context"
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
}

// NewKeeper starts a keeper that stops when ctx ends.
func NewKeeper(ctx context.Context, o Options) *Keeper {
	k := &Keeper{options: o, started: o.Clock.Now(), done: make(chan struct{}), accounts: make(map[string]Account)}
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
		_, unmet := k.account(w)
		for _, i := range unmet {
			probes[i.Address] = true
		}
	}
	k.closeRemoved(catalog)
	for address := range probes {
		k.options.Members.ProbeSoon(address)
	}
}

// closeRemoved closes the accounts of workspaces that are no longer configured.
func (k *Keeper) closeRemoved(catalog *config.Catalog) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for name := range k.accounts {
		if _, ok := catalog.Workspace(name); !ok {
			delete(k.accounts, name)
		}
	}
}

// account returns whether this instance keeps an account of a workspace, and opens, closes or updates it. It also returns the
// instances that must answer first.
func (k *Keeper) account(w config.Workspace) (kept bool, unmet []member.Instance) {
	if !limits(w) {
		return false, nil
	}
	o := k.options
	share := Divide(w, o.Bounds, len(o.Regions))
	now := o.Clock.Now()
	_, rosterKnown := o.Members.InstanceCount()
	standing := Standing{ID: o.Self.ID, Listed: o.WasListed(), RosterKnown: rosterKnown, Age: now.Sub(k.started)}
	candidates := ranked(o.Members.Known(), w.Name, k.region(), Candidates(share.PerRegion))
	kept, unmet = standing.Keeps(candidates, share.PerRegion)
	k.mu.Lock()
	defer k.mu.Unlock()
	a, open := k.accounts[w.Name]
	switch {
	case kept && !open:
		k.accounts[w.Name] = NewAccount(share, k.since(standing, now))
		o.Logger.Log(event.AccountOpened, log.Fields{"workspace": w.Name, "rate": share.Rate, "capacity": share.Capacity})
	case kept && a.bucket.share != share:
		k.accounts[w.Name] = a.WithShare(share, now)
	case !kept && open:
		delete(k.accounts, w.Name)
		o.Logger.Log(event.AccountClosed, log.Fields{"workspace": w.Name})
	}
	return kept, unmet
}

// since returns from when on an account that is opened now gains operations: from the start after a restart, as nothing else has
// granted any of it since then.
func (k *Keeper) since(s Standing, now time.Time) time.Time {
	if s.Listed && s.Age <= settleTime+reviewInterval {
		return k.started
	}
	return now
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
	catalog := k.options.Catalog()
	if catalog == nil {
		return Grant{Absent: true}
	}
	w, ok := catalog.Workspace(workspace)
	if !ok {
		return Grant{Absent: true}
	}
	if kept, _ := k.account(w); !kept {
		return Grant{Absent: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a, open := k.accounts[workspace]
	if !open {
		return Grant{Absent: true}
	}
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
