package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/store"
)

// listedRows returns the values of the listed rows by name.
func listedRows(s Snapshot) map[string]string {
	out := make(map[string]string)
	for _, row := range s.Rows() {
		out[row.Key.Key] = string(row.Value)
	}
	return out
}

// TestChanges guards against peers that end with other endpoints than the table has, when they take over only the changes
// since their version: from different peers in turn, which read the table at different versions, and after gaps. What
// appeared and vanished between two reads of a peer is not among its changes; digest and sum must tell.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const readers = 3
		table, version := map[string]string{}, store.Version(0)
		var snapshots [readers]Snapshot
		ignore := func(string, error) {}
		names := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4", "e5"})
		for step := range 40 {
			now := epoch.Add(time.Duration(step) * time.Second)
			version++
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table[names.Draw(t, "name")] = rapid.SampledFrom([]string{"primary ready 1", "replica ready 1", "replica leaving 2"}).Draw(t, "value")
			case 1:
				delete(table, names.Draw(t, "name"))
			case 2:
				n := rapid.IntRange(0, readers-1).Draw(t, "reader")
				snapshots[n], _ = snapshots[n].With(rows(table), version, wordDecoder{}, now, ignore)
			default:
				from, to := rapid.IntRange(0, readers-1).Draw(t, "from"), rapid.IntRange(0, readers-1).Draw(t, "to")
				offered := snapshots[from].Version()
				changes, complete := snapshots[from].ChangesSince(snapshots[to].Version())
				if offered <= snapshots[to].Version() || !complete {
					continue
				}
				next, _ := snapshots[to].With(snapshots[to].RowsAfter(changes), offered, wordDecoder{}, now, ignore)
				if (next.Digest() == snapshots[from].Digest()) != (next.Sum() == snapshots[from].Sum()) {
					t.Fatal("digest and sum differ on whether these are the peer's endpoints")
				}
				if next.Sum() != snapshots[from].Sum() {
					// The peer asks for all rows instead.
					continue
				}
				next.version = offered
				snapshots[to] = next
				if diff := cmp.Diff(listedRows(snapshots[from]), listedRows(next)); diff != "" {
					t.Fatalf("endpoints offered at version %d (-) and taken over (+):\n%s", offered, diff)
				}
			}
		}
	})
}

// TestChangesAreFew guards against sending the whole endpoint table for each change, which at many databases costs every
// instance the product of both.
func TestChangesAreFew(t *testing.T) {
	const endpoints = 600
	table := make(map[string]string)
	for n := range endpoints {
		table[fmt.Sprintf("e%d", n)] = "replica ready 1"
	}
	ignore := func(string, error) {}
	s, _ := Snapshot{}.With(rows(table), 10, wordDecoder{}, epoch, ignore)
	table["e1"] = "primary ready 1"
	delete(table, "e2")
	s, _ = s.With(rows(table), 20, wordDecoder{}, epoch, ignore)
	tests := map[string]struct {
		since    store.Version
		complete bool
		rows     int
		delisted int
	}{
		"from the version before":      {since: 10, complete: true, rows: 1, delisted: 1},
		"between two reads":            {since: 15, complete: true, rows: 1, delisted: 1},
		"nothing known":                {since: 0},
		"older than what was recorded": {since: 9},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changes, complete := s.ChangesSince(test.since)
			if diff := cmp.Diff([]any{test.complete, test.rows, test.delisted}, []any{complete, len(changes.Rows), len(changes.Delisted)}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDelistedBounded guards against a record of departed endpoints that only grows.
func TestDelistedBounded(t *testing.T) {
	s := Snapshot{}
	for n := range store.Version(3 * maxDelisted) {
		s, _ = s.With(rows(map[string]string{fmt.Sprintf("e%d", n): "replica leaving 1"}), n+1, wordDecoder{}, epoch, func(string, error) {})
	}
	if len(s.delisted) > maxDelisted {
		t.Errorf("%d departed endpoints recorded", len(s.delisted))
	}
	if _, complete := s.ChangesSince(2); complete {
		t.Error("changes since a version whose record was dropped count as complete")
	}
}
