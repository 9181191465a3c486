package succession

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/platform/rows"
	"siskincove/standin/hosting"
)

// TestMemberKeeper guards against endpoints that vanish from the list in the store: because another coordinator wrote it, the store
// was restored from a copy, or an answer was lost; and against a list that nobody can read, which must not block for good.
func TestMemberKeeper(t *testing.T) {
	foreign := []byte(`{"members":[{"id":"z","address":"127.0.0.1:9","incarnation":3}]}`)
	tests := map[string]struct {
		before []byte
		change func(s *hosting.Store, started hosting.Copy)
		era    uint64
		// found is set if the row listed another endpoint, which a read must tell the coordinator.
		found bool
	}{
		"nothing happens":               {},
		"the row can't be read":         {before: []byte("{")},
		"the row lists others":          {before: foreign, found: true},
		"another coordinator writes it": {change: func(s *hosting.Store, _ hosting.Copy) { s.WriteRaw(memberTable, "db", foreign) }, found: true},
		"answers are lost":              {change: func(s *hosting.Store, _ hosting.Copy) { s.SetFaults(hosting.StoreFaults{LoseCommits: 1}) }},
		"the store is restored":         {change: func(s *hosting.Store, started hosting.Copy) { s.Restore(started) }, era: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := hosting.NewStore()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			started := s.Copy()
			if test.before != nil {
				s.WriteRaw(memberTable, "db", test.before)
			}
			ctx, cancel := context.WithCancel(context.Background())
			k := startMemberKeeper(ctx, Options{Clock: clock.System{}, Logger: event.Discard(), Rows: rows.New(s.Address())}, "db")
			defer func() {
				cancel()
				<-k.done
			}()
			found := make(map[string]bool)
			era := uint64(1)
			lead := lastPrimary{endpoint: "a", incarnation: 5, term: 2}
			awaitList := func(want memberList) {
				t.Helper()
				for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
					listed, _, _ := k.takeRead()
					for _, e := range listed {
						found[e.Name] = true
					}
					all := want.with(listed)
					k.setDemand(want, all, lead, 0, era)
					got, stored, err := decodeMemberList("db", s.Rows(memberTable)["db"])
					if err == nil && got.contains(want) && stored == lead {
						return
					}
					if time.Now().After(end) {
						t.Fatalf("the store lists %v, %v, %v", got, stored, err)
					}
				}
			}
			awaitList(listOf("a"))
			if test.change != nil {
				test.change(s, started)
			}
			era = max(test.era, 1)
			lead.term++
			awaitList(listOf("a", "b"))
			if diff := cmp.Diff(test.found, found["z"]); diff != "" {
				t.Errorf("whether the coordinator was told of another endpoint: %s", diff)
			}
		})
	}
}
