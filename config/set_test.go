package config

import (
	"cmp"
	"slices"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestSorted checks that objects of the same name keep their order, on which the hash of a set depends.
func TestSorted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var services []Service
		for _, name := range rapid.SliceOf(rapid.StringMatching(`[a-c]{0,2}`)).Draw(t, "names") {
			services = append(services, Service{Name: name, Route: rapid.StringMatching(`[a-z]`).Draw(t, "route")})
		}
		want := slices.Clone(services)
		slices.SortStableFunc(want, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
		if diff := gocmp.Diff(want, Set{Services: services}.Sorted().Services); diff != "" {
			t.Error(diff)
		}
	})
}
