package directory

import (
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/store"
)

const (
	// missingPause is how long an endpoint that is no longer listed is still used while it answers: entries that lapsed
	// with the store are back about 2 s after it, and a leaving endpoint may get no new work after 7 s.
	missingPause = 4 * time.Second
	// firstVersion marks entries of which nothing is known.
	firstVersion = 0
)

// entry is a registered endpoint.
type entry struct {
	row        store.Row
	registered Registration
	// promoted is the store's version at which the endpoint was first seen as primary, 0 while it is a replica.
	promoted uint64
	// missing is since when the endpoint is not listed, zero while it is.
	missing time.Time
}

// Sheet is the registered endpoints of one version; it is an immutable value.
type Snapshot struct {
	version uint64
	entries map[string]entry
}

// Version returns the store's version at which the sheet last changed.
func (s Snapshot) Version() uint64 { return s.version }

// Rows returns the rows behind the sheet.
func (s Snapshot) Rows() []store.Row {
	out := make([]store.Row, 0, len(s.entries))
	for _, e := range s.entries {
		if e.missing.IsZero() {
			out = append(out, e.row)
		}
	}
	return out
}

// Difference tells the endpoints that a newer sheet changed.
type Difference struct {
	Changed []string
	Missing []string
	Removed []string
}

// Empty reports whether nothing changed.
func (d Difference) Empty() bool { return len(d.Changed)+len(d.Missing)+len(d.Removed) == 0 }

// With returns the sheet after the whole table was read at a version; what can't be read is passed to unreadable.
func (s Snapshot) With(rows []store.Row, version uint64, d Decoder, now time.Time, unreadable func(string, error)) (Snapshot, Difference) {
	next := Snapshot{version: s.version, entries: make(map[string]entry, len(rows))}
	var diff Difference
	for _, row := range rows {
		name := row.Key.Key
		registered, err := d.Endpoint(name, row.Value)
		if err != nil {
			unreadable(name, err)
			continue
		}
		e, changed := s.entry(name, row, registered, version)
		next.entries[name] = e
		if changed {
			diff.Changed = append(diff.Changed, name)
		}
	}
	for name, e := range s.entries {
		if _, listed := next.entries[name]; !listed {
			next.keep(name, e, now, &diff)
		}
	}
	if !diff.Empty() {
		next.version = version
	}
	return next, diff
}

// entry returns the entry for a row and whether it says anything new.
func (s Snapshot) entry(name string, row store.Row, registered Registration, version uint64) (entry, bool) {
	before, known := s.entries[name]
	e := entry{row: row, registered: registered, promoted: before.promoted}
	switch {
	case registered.Role != endpoint.Primary:
		e.promoted = firstVersion
	case before.promoted == firstVersion || before.registered.Endpoint.Incarnation != registered.Endpoint.Incarnation:
		e.promoted = max(version, 1)
	}
	return e, !known || !before.missing.IsZero() || before.registered != registered
}

// keep decides on an endpoint that is no longer listed.
func (s Snapshot) keep(name string, e entry, now time.Time, diff *Difference) {
	if e.missing.IsZero() && !e.registered.Endpoint.Leaving {
		e.missing = now
		diff.Missing = append(diff.Missing, name)
	}
	if e.missing.IsZero() || now.Sub(e.missing) > missingPause {
		diff.Removed = append(diff.Removed, name)
		return
	}
	s.entries[name] = e
}

// Sweep returns the sheet without endpoints that have been missing for too long.
func (s Snapshot) Expire(now time.Time) (Snapshot, Difference) {
	next := Snapshot{version: s.version, entries: make(map[string]entry, len(s.entries))}
	var diff Difference
	for name, e := range s.entries {
		if !e.missing.IsZero() && now.Sub(e.missing) > missingPause {
			diff.Removed = append(diff.Removed, name)
			continue
		}
		next.entries[name] = e
	}
	return next, diff
}

// endpoints returns the endpoints with whole failure domains, and which one of each database is registered as primary:
// the one that became so last.
func (s Snapshot) endpoints(regions map[string]string) ([]config.Endpoint, map[string]string) {
	out := make([]config.Endpoint, 0, len(s.entries))
	claims := make(map[string]string)
	latest := make(map[string]uint64)
	for _, e := range s.entries {
		member := e.registered.Endpoint
		member.Domain = regions[member.Domain] + "/" + member.Domain
		out = append(out, member)
		if e.promoted > latest[member.Database] {
			latest[member.Database] = e.promoted
			claims[member.Database] = member.Name
		}
	}
	return out, claims
}
