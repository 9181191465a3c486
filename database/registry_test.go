package database

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestDivide gives how connections are divided.
func TestDivide(t *testing.T) {
	tests := map[string]struct {
		connections, instances int
		want                   Share
	}{
		"not known yet":                {connections: 80, want: Share{Limit: 2}},
		"plenty":                       {connections: 80, instances: 21, want: Share{Limit: 3}},
		"one each would do for no two": {connections: 40, instances: 21, want: Share{Holders: 4, Limit: 8}},
		"fewer than instances":         {connections: 105, instances: 133, want: Share{Holders: 11, Limit: 8}},
		"very few":                     {connections: 7, instances: 40, want: Share{Holders: 2, Limit: 1}},
		"one":                          {connections: 1, instances: 40, want: Share{Holders: 1, Limit: 1}},
		"two instances":                {connections: 3, instances: 2, want: Share{Limit: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Divide(test.connections, test.instances)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDivideWithin holds that instances together stay within what an endpoint takes, however many they are.
func TestDivideWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := rapid.IntRange(1, 1000).Draw(t, "connections")
		instances := rapid.IntRange(1, 4000).Draw(t, "instances")
		s := Divide(connections, instances)
		with := instances
		if s.Holders > 0 {
			with = s.Holders
		}
		if s.Limit < 1 || with*s.Limit > max(connections, holdersLeast) || s.Holders >= instances {
			t.Fatalf("%d connections, %d instances: %+v", connections, instances, s)
		}
	})
}
