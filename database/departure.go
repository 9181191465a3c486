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

// maxConcluded bounds the departures that are remembered after they no longer count.
const maxConcluded = 64

// recordDeparture records that an endpoint left. This includes the primary: it may become a replica of the next one, and
// acknowledge its commits, before it stops.
func (d *Database) recordDeparture(e config.Endpoint) {
	d.departures = append(d.departures, Departure{Endpoint: e, At: d.options.Clock.Now()})
}

// RecordUnregistered records the departure of the listed endpoints that are not registered now, unless it is recorded already or
// no longer counts, and returns those that it recorded. Of an endpoint that has restarted, only the last incarnation is registered.
func (d *Database) RecordUnregistered(listed []config.Endpoint) []config.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	var recorded []config.Endpoint
	for _, e := range listed {
		known := func(other config.Endpoint) bool { return sameIncarnation(e, other) }
		departed := func(departure Departure) bool { return known(departure.Endpoint) }
		if slices.ContainsFunc(d.members, known) || slices.ContainsFunc(d.departures, departed) || slices.ContainsFunc(d.concluded, known) {
			continue
		}
		d.recordDeparture(e)
		recorded = append(recorded, e)
	}
	return recorded
}

func sameIncarnation(a, b config.Endpoint) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}

// recordRegistered removes the departure of an endpoint that is registered again without a restart: it has its log, and
// counts as a member. An endpoint without an incarnation may have restarted.
func (d *Database) recordRegistered(e config.Endpoint) {
	returned := func(other config.Endpoint) bool { return e.Incarnation != 0 && sameIncarnation(e, other) }
	d.departures = slices.DeleteFunc(d.departures, func(departure Departure) bool { return returned(departure.Endpoint) })
	d.concluded = slices.DeleteFunc(d.concluded, returned)
}

// Departures returns the endpoints that departed within departureLimit and whose commits are not known to be in another
// replica.
func (d *Database) Departures() []Departure {
	_, departures := d.MayHoldCommits()
	return departures
}

// MayHoldCommits returns the registered endpoints and the departures as of one moment.
func (d *Database) MayHoldCommits() (members []config.Endpoint, departures []Departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	d.concludeDepartures(func(departure Departure) bool { return now.Sub(departure.At) > departureLimit })
	return d.members, slices.Clone(d.departures)
}

// DropSettledDepartures removes the departures of the endpoints that are settled: their commits are in another replica.
func (d *Database) DropSettledDepartures(settled func(e config.Endpoint) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.concludeDepartures(func(departure Departure) bool { return settled(departure.Endpoint) })
}

// concludeDepartures removes the departures that no longer count; d.mu must be held.
func (d *Database) concludeDepartures(ended func(departure Departure) bool) {
	d.departures = slices.DeleteFunc(d.departures, func(departure Departure) bool {
		if !ended(departure) {
			return false
		}
		d.concluded = append(d.concluded, departure.Endpoint)
		return true
	})
	d.concluded = d.concluded[max(len(d.concluded)-maxConcluded, 0):]
}
