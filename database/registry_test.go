package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDivide gives how connections are divided.
func TestDivide(t *testing.T) {
	tests := map[string]struct {
		connections, slots, instances int
		want                          Share
	}{
		"not known yet":                  {connections: 80, want: Share{Limit: 2}},
		"plenty":                         {connections: 80, instances: 21, want: Share{Limit: 3}},
		"one each would do for no two":   {connections: 40, instances: 21, want: Share{Holders: 4, Limit: 8}},
		"fewer than instances":           {connections: 105, instances: 133, want: Share{Holders: 11, Limit: 8}},
		"very few":                       {connections: 7, instances: 40, want: Share{Holders: 2, Limit: 1}},
		"one":                            {connections: 1, instances: 40, want: Share{Holders: 1, Limit: 1}},
		"few instances for the slots":    {connections: 88, slots: 3, instances: 15, want: Share{Limit: 4}},
		"many instances for the slots":   {connections: 289, slots: 3, instances: 106, want: Share{Holders: 6, Limit: 40}},
		"many for slots and connections": {connections: 105, slots: 6, instances: 133, want: Share{Holders: 11, Limit: 8}},
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

// TestDivideWithin holds that instances together stay within what an endpoint takes, however many they are: its connections,
// and, with one statement of each, the places for those that wait for a slot. It answers the pattern of a fleet that grows
// before endpoints that do not.
func TestDivideWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 1000).Draw(t, "connections")
		instances := rapid.IntRange(1, 4000).Draw(t, "instances")
		slots := rapid.IntRange(0, 64).Draw(t, "slots")
		s := Divide(connections, slots, instances)
		with := instances
		if s.Holders > 0 {
			with = s.Holders
		}
		if most := max(slotShare*slots, holdersLeast); slots > 0 && with > most {
			t.Fatalf("%d instances send statements to %d slots, want at most %d: %+v", with, slots, most, s)
		}
		if s.Limit < 1 || with*s.Limit > max(connections, holdersLeast) || s.Holders >= instances {
			t.Fatalf("%d connections, %d slots, %d instances: %+v", connections, slots, instances, s)
		}
	})
}
