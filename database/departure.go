package database

import (
	"slices"
	"time"

	"siskincove/config"
)

// departureLimit is how long a departure counts at most: beyond it a database that has lost all that could hold its commits
// is better off with a primary than without.
const departureLimit = time.Minute

// Departure is an endpoint that is no longer registered. It may have acknowledged commits that no other replica has, and
// for some seconds it may still do so.
type Departure struct {
	Endpoint config.Endpoint
	At       time.Time
}

// depart notes that an endpoint left, unless it led: the commits of a primary are acknowledged by others.
func (d *Database) depart(e config.Endpoint) {
	if lead, ok := d.view.Lead(); ok && lead.Endpoint == e.Name {
		return
	}
	d.departures = append(d.departures, Departure{Endpoint: e, At: d.options.Clock.Now()})
}

// Departures returns the endpoints whose commits are not known to be in another replica.
func (d *Database) Departures() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	d.departures = slices.DeleteFunc(d.departures, func(gone Departure) bool { return now.Sub(gone.At) > departureLimit })
	return slices.Clone(d.departures)
}

// Settle forgets departures whose commits are in another replica by now.
func (d *Database) DropSettledDepartures(settled func(e config.Endpoint) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures = slices.DeleteFunc(d.departures, func(gone Departure) bool { return settled(gone.Endpoint) })
}
