package member_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/event"
	"siskincove/member"
	"siskincove/platform/rows"
	"siskincove/standin/hosting"
)

// TestRoster checks that an instance registers itself once, finds the others, skips a row that can't be decoded and is
// not listed after it has left, and that one that restarts at the same address is not registered again.
func TestRoster(t *testing.T) {
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	first := member.Instance{ID: "i0", Address: "127.0.0.1:1", Domain: "r/a"}
	second := member.Instance{ID: "i1", Address: "127.0.0.1:2", Domain: "r/b"}
	ownRoster := member.NewRoster(rows.New(s.Address()), first, event.Discard())
	otherRoster := member.NewRoster(rows.New(s.Address()), second, event.Discard())
	s.WriteRaw("instances", "broken", []byte("{"))
	list := func(r *member.Roster, want ...member.Instance) {
		t.Helper()
		got, err := r.List(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	list(ownRoster, first)
	list(otherRoster, first, second)
	list(ownRoster, first, second)
	if diff := cmp.Diff(2, s.Calls("/rows-tx")); diff != "" {
		t.Errorf("registrations: %s", diff)
	}
	restarted := member.NewRoster(rows.New(s.Address()), first, event.Discard())
	list(restarted, first, second)
	if diff := cmp.Diff(2, s.Calls("/rows-tx")); diff != "" {
		t.Errorf("registrations after a restart: %s", diff)
	}
	if err := otherRoster.Deregister(ctx); err != nil {
		t.Fatal(err)
	}
	list(ownRoster, first)
}
