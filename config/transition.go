package config

import (
	"fmt"

	"siskincove/document"
)

// CheckChange returns what forbids going from one set in force to the next: a group may gain or lose one endpoint at a
// time, since only then do the majorities of both sets share an endpoint while instances go over to the next.
func CheckChange(before, after Set) document.Problems {
	old, next := NewCatalog(before), NewCatalog(after)
	var out document.Problems
	for _, d := range after.Databases {
		if _, existed := old.Database(d.Name); !existed {
			continue
		}
		if changed := membersChanged(old.Members(d.Name), next.Members(d.Name)); changed > 1 {
			out = append(out, document.Problem{
				Key:     "database " + d.Name,
				Message: fmt.Sprintf("%d endpoints are added or removed; publish one such change at a time", changed),
			})
		}
	}
	return out
}

func membersChanged(before, after []Endpoint) int {
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
