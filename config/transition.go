package config

import (
	"fmt"

	"siskincove/document"
)

// CheckChange returns the problems that forbid replacing the set before by the set after. A group may gain or lose only one
// endpoint at a time: only then do any majority of the old group and any majority of the new one share an endpoint while
// instances switch from one set to the other.
func CheckChange(before, after Set) document.Problems {
	old, next := NewCatalog(before), NewCatalog(after)
	var out document.Problems
	for _, d := range after.Databases {
		if _, existed := old.Database(d.Name); !existed {
			continue
		}
		if changed := countChangedMembers(old.Members(d.Name), next.Members(d.Name)); changed > 1 {
			out = append(out, document.Problem{
				Key:     "database " + d.Name,
				Message: fmt.Sprintf("%d endpoints are added or removed; publish one such change at a time", changed),
			})
		}
	}
	return out
}

func countChangedMembers(before, after []Endpoint) int {
	old := index(before, func(e Endpoint) string { return e.Name })
	next := index(after, func(e Endpoint) string { return e.Name })
	changed := 0
	for name := range old {
		if _, ok := next[name]; !ok {
			changed++
		}
	}
	for name := range next {
		if _, ok := old[name]; !ok {
			changed++
		}
	}
	return changed
}
