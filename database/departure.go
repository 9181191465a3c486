package database

import (
	"slices"
	"time"

	"siskincove/config"
)

// departureLimit is how long a departed endpoint's commits are taken into account. If no replica that could hold them has
// been found by then, having a primary is better than waiting longer.
const departureLimit = time.Minute

// Departure is an endpoint that is no longer registered. It may have acknowledged commits that no other replica has,
// and may do so for some seconds more.
type Departure struct {
	Endpoint config.Endpoint
	At       time.Time
}

// recordDeparture records that an endpoint left. This includes the primary: it may become a replica of the next one, and
// acknowledge its commits, before it stops.
func (d *Database) recordDeparture(e config.Endpoint) {
	d.departures = append(d.departures, Departure{Endpoint: e, At: d.options.Clock.Now()})
}

// Departures returns the endpoints that departed within departureLimit and whose commits are not known to be in another
// replica.
func (d *Database) Departures() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	d.departures = slices.DeleteFunc(d.departures, func(departure Departure) bool { return now.Sub(departure.At) > departureLimit })
	return slices.Clone(d.departures)
}

// DropSettledDepartures removes the departures of the endpoints that are settled: their commits are in another replica.
func (d *Database) DropSettledDepartures(settled func(e config.Endpoint) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.departures = slices.DeleteFunc(d.departures, func(departure Departure) bool { return settled(departure.Endpoint) })
}
