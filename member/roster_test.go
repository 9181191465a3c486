package member_test

import (
	"context"
	"strings"
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

// TestForeignRows guards against rows of other writers that count as instances, which get a part of the connections and are sent
// heartbeats, and against a roster that can't be read because of one of them.
func TestForeignRows(t *testing.T) {
	for name, value := range map[string]string{
		"not JSON": "{", "bytes": "\xff\x00", "empty": "", "null": "null", "list": "[]", "text": `"x"`, "no fields": "{}",
		"nested deeply":          `{"address":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + "}",
		"number for the address": `{"address":7,"domain":"r/a"}`, "no port": `{"address":"127.0.0.1","domain":"r/a"}`,
		"port out of range": `{"address":"127.0.0.1:65536","domain":"r/a"}`, "port 0": `{"address":"127.0.0.1:0","domain":"r/a"}`,
		"host name": `{"address":"localhost:7","domain":"r/a"}`, "unspecified": `{"address":"0.0.0.0:7","domain":"r/a"}`,
		"no domain": `{"address":"127.0.0.1:7"}`, "no region": `{"address":"127.0.0.1:7","domain":"/a"}`, "no slash": `{"address":"127.0.0.1:7","domain":"ra"}`,
	} {
		t.Run(name, func(t *testing.T) {
			s, err := hosting.NewStore()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			self := member.Instance{ID: "i0", Address: "127.0.0.1:1", Domain: "r/a"}
			s.WriteRaw("instances", "odd", []byte(value))
			got, err := member.NewRoster(rows.New(s.Address()), self, event.Discard()).List(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]member.Instance{self}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
