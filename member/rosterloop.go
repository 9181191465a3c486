package member

import (
	"context"

	"github.com/apex/log"

	"siskincove/event"
	"siskincove/store"
)

func (d *Driver) rosterLoop(ctx context.Context) {
	for first := true; ; first = false {
		pause := unlistedRosterInterval
		if d.mayTrustPeers() || d.readRoster(ctx) {
			pause = d.options.RosterInterval
		}
		if first {
			close(d.rosterAnswered)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		case <-d.rosterRequested:
			d.forgetRoster()
		}
	}
}

// RereadRoster requests that the roster is read again soon, since the store may have lost rows of it.
func (d *Driver) RereadRoster() {
	select {
	case d.rosterRequested <- struct{}{}:
	default:
	}
}

// forgetRoster makes this instance read the roster itself until that lists it again.
func (d *Driver) forgetRoster() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ForgetListed()
}

// mayTrustPeers reports whether this instance need not read the roster now, since it has read one that lists it and another
// instance does so.
func (d *Driver) mayTrustPeers() bool {
	d.mu.Lock()
	listed := d.table.Listed(d.options.Self.ID)
	d.mu.Unlock()
	return listed && d.options.ShouldReadRoster != nil && !d.options.ShouldReadRoster()
}

// readRoster reads the roster once and reports whether rosterKnown is set by now.
func (d *Driver) readRoster(ctx context.Context) bool {
	ctx, cancel := store.WithProgress(ctx, rosterTimeout)
	defer cancel()
	list, err := d.options.Roster.List(ctx)
	if err != nil {
		d.options.Logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.rosterKnown
	}
	known, changed := d.applyRoster(list)
	if changed {
		d.options.OnChange("")
	}
	return known
}

// applyRoster applies the roster to the table. It returns whether rosterKnown is set by now, and whether the instances that
// take part in the placement have changed.
func (d *Driver) applyRoster(list []Instance) (known, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	version := d.table.Version()
	d.table.ApplyRoster(list, d.options.Clock.Now())
	d.rosterKnown = d.rosterKnown || d.table.Listed(d.options.Self.ID)
	return d.rosterKnown, d.table.Version() != version
}
