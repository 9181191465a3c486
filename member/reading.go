package member

import (
	"context"

	"github.com/apex/log"

	"siskincove/event"
)

func (d *Driver) readRoster(ctx context.Context) {
	for {
		pause := rosterUnlisted
		if d.readRosterOnce(ctx) {
			pause = d.options.RosterInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		}
	}
}

// readRosterOnce reads the list and reports whether this instance has been listed by now.
func (d *Driver) readRosterOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	list, err := d.options.Roster.List(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.options.Logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
		return d.listed
	}
	d.table.ApplyRoster(list, d.options.Clock.Now())
	d.listed = d.listed || d.table.Listed(d.options.Self.ID)
	return d.listed
}
