package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestDivide(t *testing.T) {
	tests := map[string]struct {
		connections, slots, instances int
		want                          Share
	}{
		"instances unknown":              {connections: 80, want: Share{Limit: 2}},
		"two or more each":               {connections: 80, instances: 21, want: Share{Limit: 3}},
		"too few for two each":           {connections: 40, instances: 21, want: Share{Holders: 4, Limit: 8}},
		"fewer than instances":           {connections: 105, instances: 133, want: Share{Holders: 11, Limit: 8}},
		"fewer than a holder's share":    {connections: 7, instances: 40, want: Share{Holders: 2, Limit: 1}},
		"one connection":                 {connections: 1, instances: 40, want: Share{Holders: 1, Limit: 1}},
		"few instances for the slots":    {connections: 88, slots: 3, instances: 15, want: Share{Limit: 4}},
		"many instances for the slots":   {connections: 289, slots: 3, instances: 106, want: Share{Holders: 6, Limit: 40, InFlight: 2}},
		"holders limited by connections": {connections: 105, slots: 6, instances: 133, want: Share{Holders: 11, Limit: 8, InFlight: 2}},
		"two instances":                  {connections: 3, instances: 2, want: Share{Limit: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Divide(test.connections, test.slots, test.instances)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDivideWithin checks that all instances together stay within an endpoint's limits, however many there are: within its
// number of connections and, with one statement from each, within its queue for slots. It guards against overload when
// the number of instances grows and that of endpoints does not.
func TestDivideWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 1000).Draw(t, "connections")
		instances := rapid.IntRange(1, 4000).Draw(t, "instances")
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		s := Divide(connections, slots, instances)
		connecting := instances
		if s.Holders > 0 {
			connecting = s.Holders
		}
		if most := max(maxInstancesPerSlot*slots, minHolders); slots > 0 && connecting > most {
			t.Fatalf("%d instances send statements to %d slots, want at most %d: got %+v", connecting, slots, most, s)
		}
		if least := s.Holders * s.InFlight; s.Holders > 0 && least < slots {
			t.Fatalf("all holders together have %d statements in flight at %d slots: got %+v", least, slots, s)
		}
		if s.Limit < 1 || connecting*s.Limit > max(connections, minHolders) || s.Holders >= instances {
			t.Fatalf("invalid share of %d connections, %d slots, %d instances: got %+v", connections, slots, instances, s)
		}
	})
}

func TestDivideByWorkspace(t *testing.T) {
	tests := map[string]struct {
		connections, slots, instances int
		// nearby is the number of instances near the endpoint, 0 for all.
		nearby int
		want   Share
	}{
		"instances unknown":         {connections: 112, slots: 4, want: Share{Limit: 2, ByWorkspace: true}},
		"two instances":             {connections: 112, slots: 4, instances: 2, want: Share{Limit: 47, ByWorkspace: true}},
		"three instances":           {connections: 112, slots: 4, instances: 3, want: Share{Holders: 3, Limit: 27, InFlight: 4, ByWorkspace: true}},
		"shares of five each":       {connections: 112, slots: 4, instances: 18, want: Share{Holders: 5, Limit: 18, InFlight: 3, ByWorkspace: true}},
		"many instances":            {connections: 112, slots: 4, instances: 144, want: Share{Holders: 5, Limit: 18, InFlight: 3, ByWorkspace: true}},
		"few connections":           {connections: 24, slots: 3, instances: 40, want: Share{Holders: 2, Limit: 6, InFlight: 5, ByWorkspace: true}},
		"one connection":            {connections: 1, instances: 40, want: Share{Holders: 1, Limit: 1, ByWorkspace: true}},
		"holders limited by slots":  {connections: 400, slots: 2, instances: 144, want: Share{Holders: 4, Limit: 79, InFlight: 2, ByWorkspace: true}},
		"three instances nearby":    {connections: 112, slots: 4, instances: 18, nearby: 3, want: Share{Holders: 3, Limit: 27, InFlight: 4, ByWorkspace: true}},
		"number of slots not known": {connections: 112, instances: 144, want: Share{Holders: 5, Limit: 18, ByWorkspace: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			nearby := func(most int) int {
				if test.nearby > 0 {
					return min(test.nearby, most)
				}
				return min(test.instances, most)
			}
			if diff := cmp.Diff(test.want, DivideByWorkspace(test.connections, test.slots, test.instances, nearby)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDivideByWorkspaceWithin guards against TOOMANY when a holder loses power: its connections still count while its successor
// opens as many, and the reserve stays free.
func TestDivideByWorkspaceWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(12, 1000).Draw(t, "connections")
		instances := rapid.IntRange(3, 4000).Draw(t, "instances")
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		near := rapid.IntRange(2, instances).Draw(t, "near")
		s := DivideByWorkspace(connections, slots, instances, func(most int) int { return min(near, most) })
		if s.Holders < min(minHolders, instances) || s.Holders > instances || s.Limit < 1 {
			t.Fatalf("invalid share %+v", s)
		}
		if most := (s.Holders + 1) * s.Limit; most > connections-minConnectionReserve {
			t.Fatalf("%d connections may be open at once beside a lost holder's: got %+v", most, s)
		}
		if s.Holders*s.InFlight < slots {
			t.Fatalf("all holders together have %d statements in flight at %d slots: got %+v", s.Holders*s.InFlight, slots, s)
		}
	})
}
