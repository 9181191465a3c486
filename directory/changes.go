package directory

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"

	"siskincove/store"
	"siskincove/transfer"
)

// maxDelisted bounds the endpoints in Snapshot.delisted. A peer whose version is older than the ones left out gets all rows.
const maxDelisted = 256

// Changes are what an instance has read to differ between two versions of the endpoint table: the rows of endpoints that are
// new or registered with other values, and the names of endpoints that are no longer listed. What changed between two of its
// reads and changed back is not among them.
type Changes struct {
	Rows     []store.Row
	Delisted []string
}

// ChangesSince returns the changes after a version of the store, and false if they are not known completely.
func (s Snapshot) ChangesSince(version store.Version) (Changes, bool) {
	if version == 0 || version < s.recordedFrom {
		return Changes{}, false
	}
	var out Changes
	for _, e := range s.entries {
		if e.missingSince.IsZero() && e.changedAt > version {
			out.Rows = append(out.Rows, e.row)
		}
	}
	for name, at := range s.delisted {
		if at > version {
			out.Delisted = append(out.Delisted, name)
		}
	}
	return out, true
}

// Sum returns a hash of the listed endpoints and their registrations, by which a peer that applied Changes verifies the result.
func (s Snapshot) Sum() transfer.Sum { return s.sum }

func (s Snapshot) computeSum() transfer.Sum {
	var names []string
	for name, e := range s.entries {
		if e.missingSince.IsZero() {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return transfer.Sum{}
	}
	slices.Sort(names)
	h := sha256.New()
	for _, name := range names {
		sum := s.entries[name].sum
		_, _ = h.Write(sum[:])
	}
	return transfer.Sum(h.Sum(nil))
}

// Digest returns a checksum of the same, for peers of builds that don't know Sum. Two sets of endpoints can be built to have the same
// one.
func (s Snapshot) Digest() uint64 {
	var out uint64
	for _, e := range s.entries {
		if e.missingSince.IsZero() {
			out ^= e.digest
		}
	}
	return out
}

// RowsAfter returns the rows of all endpoints that are listed after the changes.
func (s Snapshot) RowsAfter(c Changes) []store.Row {
	all := make(map[string]store.Row)
	for _, row := range s.Rows() {
		all[row.Key.Key] = row
	}
	for _, name := range c.Delisted {
		delete(all, name)
	}
	for _, row := range c.Rows {
		all[row.Key.Key] = row
	}
	return slices.Collect(maps.Values(all))
}

// withDelisted returns the snapshot with the endpoints that were delisted before, without those that are listed again, and
// with those that the difference found to be missing or removed at a version of the store.
func (s Snapshot) withDelisted(before map[string]store.Version, diff Difference, version store.Version) Snapshot {
	s.delisted = make(map[string]store.Version, len(before))
	for name, at := range before {
		if e, known := s.entries[name]; !known || !e.missingSince.IsZero() {
			s.delisted[name] = at
		}
	}
	for _, name := range slices.Concat(diff.Missing, diff.Removed) {
		if _, recorded := s.delisted[name]; !recorded {
			s.delisted[name] = version
		}
	}
	for len(s.delisted) > maxDelisted {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(s.delisted)), func(a, b string) int { return cmp.Compare(s.delisted[a], s.delisted[b]) })
		s.recordedFrom = max(s.recordedFrom, s.delisted[oldest])
		delete(s.delisted, oldest)
	}
	return s
}
