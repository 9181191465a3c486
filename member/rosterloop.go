package member

import (
	"context"

	"github.com/apex/log"

	"siskincove/event"
)

func (d *Driver) rosterLoop(ctx context.Context) {
	for {
		pause := unlistedRosterInterval
		if d.mayTrustPeers() || d.readRoster(ctx) {
			pause = d.options.RosterInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		}
	}
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
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	list, err := d.options.Roster.List(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.options.Logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
		return d.rosterKnown
	}
	d.table.ApplyRoster(list, d.options.Clock.Now())
	d.rosterKnown = d.rosterKnown || d.table.Listed(d.options.Self.ID)
	return d.rosterKnown
}
