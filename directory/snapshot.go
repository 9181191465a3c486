package directory

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/store"
	"siskincove/transfer"
)

const (
	// missingGrace is how long an endpoint that is no longer listed stays in use, provided that it answers. Entries that
	// lapsed during an outage of the store return about 2 s after it, and a leaving endpoint must get no new work after
	// 7 s.
	missingGrace = 4 * time.Second
	// notPromoted is the promotedVersion of entries that are not primary.
	notPromoted = store.Version(0)
)

// entry is a registered endpoint, with its row in the store and what was observed over several reads.
type entry struct {
	row          store.Row
	registration Registration
	// promotedVersion is the store version at which the endpoint was first seen as primary, notPromoted while it is not.
	promotedVersion store.Version
	// changedAt is the store version at which the present registration was first read.
	changedAt store.Version
	// digest is a checksum and sum a hash of the name and the registration.
	digest uint64
	sum    transfer.Sum
	// missingSince is when the endpoint was first found not to be listed; zero while it is listed.
	missingSince time.Time
}

// Snapshot is the set of endpoints registered at one version of the store. It is an immutable value.
type Snapshot struct {
	version store.Version
	entries map[string]entry
	// sum is a hash of all entries that are listed, zero for none.
	sum transfer.Sum
	// delisted holds the endpoints that are no longer listed, with the store version at which that was first read. It and
	// entry.changedAt cover all changes after recordedFrom.
	delisted     map[string]store.Version
	recordedFrom store.Version
	// refused maps the rows that could not be decoded to checksums of their values, by which they are reported once.
	refused map[string]uint64
}

// Version returns the store version at which the endpoints last changed.
func (s Snapshot) Version() store.Version { return s.version }

// Rows returns the rows of the endpoints that are listed.
func (s Snapshot) Rows() []store.Row {
	out := make([]store.Row, 0, len(s.entries))
	for _, e := range s.entries {
		if e.missingSince.IsZero() {
			out = append(out, e.row)
		}
	}
	return out
}

// anyMissing reports whether an endpoint is no longer listed but still in use.
func (s Snapshot) anyMissing() bool {
	for _, e := range s.entries {
		if !e.missingSince.IsZero() {
			return true
		}
	}
	return false
}

// Difference names the endpoints that differ from the previous snapshot. Missing ones are no longer listed but still in use;
// removed ones are no longer in use.
type Difference struct {
	Changed []string
	Missing []string
	Removed []string
}

// Empty reports whether nothing changed.
func (d Difference) Empty() bool { return len(d.Changed)+len(d.Missing)+len(d.Removed) == 0 }

// Refused returns the number of rows that could not be decoded.
func (s Snapshot) Refused() int { return len(s.refused) }

// With returns the snapshot after the whole endpoint table was read at a version of the store, and what differs from s. Rows
// that can't be decoded are skipped. Their names are passed to unreadable when a value is read for the first time.
func (s Snapshot) With(rows []store.Row, version store.Version, decoder Decoder, now time.Time, unreadable func(string, error)) (Snapshot, Difference) {
	next := Snapshot{version: s.version, entries: make(map[string]entry, len(rows)), recordedFrom: s.recordedFrom, refused: make(map[string]uint64)}
	if s.version == 0 {
		next.recordedFrom = version
	}
	var diff Difference
	for _, row := range rows {
		name := row.Key.Key
		registration, err := s.registration(name, row, decoder)
		if err != nil {
			next.refused[name] = xxhash.Sum64(row.Value)
			if digest, known := s.refused[name]; !known || digest != next.refused[name] {
				unreadable(name, err)
			}
			continue
		}
		e, changed := s.newEntry(name, row, registration, version)
		next.entries[name] = e
		if changed {
			diff.Changed = append(diff.Changed, name)
		}
	}
	for name, e := range s.entries {
		if _, listed := next.entries[name]; !listed {
			next.retain(name, e, now, &diff)
		}
	}
	next = next.withDelisted(s.delisted, diff, version)
	if next.sum = s.sum; !diff.Empty() {
		next.sum = next.computeSum()
	}
	if !diff.Empty() || version.Era() > s.version.Era() {
		next.version = version
	}
	return next, diff
}

// registration returns the decoded value of a row. A row that has not changed is not decoded again.
func (s Snapshot) registration(name string, row store.Row, decoder Decoder) (Registration, error) {
	if known, ok := s.entries[name]; ok && bytes.Equal(known.row.Value, row.Value) {
		return known.registration, nil
	}
	return decoder.Endpoint(name, row.Value)
}

// newEntry returns the entry for a row, and true if the endpoint is new, listed again or registered with other values.
func (s Snapshot) newEntry(name string, row store.Row, registration Registration, version store.Version) (entry, bool) {
	previous, known := s.entries[name]
	e := entry{row: row, registration: registration, promotedVersion: previous.promotedVersion, changedAt: previous.changedAt}
	e.digest, e.sum = previous.digest, previous.sum
	switch {
	case registration.Role != endpoint.Primary:
		e.promotedVersion = notPromoted
	case previous.promotedVersion == notPromoted || previous.registration.Endpoint.Incarnation != registration.Endpoint.Incarnation:
		e.promotedVersion = max(version, 1)
	}
	changed := !known || !previous.missingSince.IsZero() || previous.registration != registration
	if changed {
		e.changedAt, e.digest = version, xxhash.Sum64String(fmt.Sprintf("%s %+v", name, registration))
		e.sum = sha256.Sum256(fmt.Appendf(nil, "%q %#v", name, registration))
	}
	return e, changed
}

// retain keeps an endpoint that is no longer listed, unless it was leaving or has been missing for longer than missingGrace.
func (s Snapshot) retain(name string, e entry, now time.Time, diff *Difference) {
	if e.missingSince.IsZero() && !e.registration.Endpoint.Leaving {
		e.missingSince = now
		diff.Missing = append(diff.Missing, name)
	}
	if e.missingSince.IsZero() || now.Sub(e.missingSince) > missingGrace {
		diff.Removed = append(diff.Removed, name)
		return
	}
	s.entries[name] = e
}

// Expire returns the snapshot without the endpoints that have been missing for longer than missingGrace.
func (s Snapshot) Expire(now time.Time) (Snapshot, Difference) {
	next := s
	next.entries = make(map[string]entry, len(s.entries))
	var diff Difference
	for name, e := range s.entries {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingGrace {
			diff.Removed = append(diff.Removed, name)
			continue
		}
		next.entries[name] = e
	}
	return next, diff
}

// endpoints returns the endpoints, with the region added to their failure domains, and the primary of each database by
// name. If several endpoints are registered as primary, the one promoted last counts.
func (s Snapshot) endpoints(regions map[string]string) ([]config.Endpoint, map[string]string) {
	out := make([]config.Endpoint, 0, len(s.entries))
	primaries := make(map[string]string)
	latestPromotion := make(map[string]store.Version)
	for _, e := range s.entries {
		member := e.registration.Endpoint
		member.Domain = regions[member.Domain] + "/" + member.Domain
		out = append(out, member)
		if e.promotedVersion > latestPromotion[member.Database] {
			latestPromotion[member.Database] = e.promotedVersion
			primaries[member.Database] = member.Name
		}
	}
	return out, primaries
}
