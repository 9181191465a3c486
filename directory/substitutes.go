package directory

import (
	"maps"
	"time"
)

// refusalTime is how long after a refusal an instance is not asked again.
const refusalTime = 10 * time.Second

// Substitutes are the instances that were asked to read the store in the place of one that it does not answer. It is an immutable
// value; the zero value holds none.
type Substitutes struct {
	current string
	// refusedUntil is until when instances are not asked, by ID.
	refusedUntil map[string]time.Time
}

// Current returns the ID of the instance that was asked last, empty for none.
func (s Substitutes) Current() string { return s.current }

// Next returns the ID of the instance to ask: the one that was asked last, unless it has refused or is no candidate any more, and
// else the first candidate that has not refused lately; empty if there is none.
func (s Substitutes) Next(candidates []string, now time.Time) string {
	next := ""
	for _, id := range candidates {
		switch {
		case now.Before(s.refusedUntil[id]):
		case id == s.current:
			return id
		case next == "":
			next = id
		}
	}
	return next
}

// With returns the substitutes after an instance was asked, or none if the ID is empty.
func (s Substitutes) With(id string) Substitutes {
	s.current = id
	return s
}

// WithRefusal returns the substitutes after an instance did not say that it reads.
func (s Substitutes) WithRefusal(id string, now time.Time) Substitutes {
	refused := maps.Clone(s.refusedUntil)
	if refused == nil {
		refused = make(map[string]time.Time)
	}
	refused[id] = now.Add(refusalTime)
	s.refusedUntil = refused
	return s
}
