package route

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Seen is what an instance last learned of an endpoint.
type Seen struct {
	Endpoint string
	Status   endpoint.Status
	At       time.Time
	// Waiting is how many requests waited for a slot there.
	Waiting int
	// Avoid is until when the endpoint is tried only if no other is left.
	Avoid time.Time
	// Stale is the last need that the endpoint was not fresh enough for, and until when that is taken to hold.
	Stale      session.Requirement
	StaleUntil time.Time
}

// behind reports whether the endpoint was lately not fresh enough for a need that asked no more than this one.
func (s Seen) behind(need session.Requirement, now time.Time) bool {
	if !now.Before(s.StaleUntil) {
		return false
	}
	younger := need.MaxAge > 0 && (s.Stale.MaxAge == 0 || need.MaxAge <= s.Stale.MaxAge)
	older := s.Stale.MaxAge > 0 && !younger
	return need.Position.Covers(s.Stale.Position) && !older
}

// Knowledge is what an instance knows of a database's endpoints; it is an immutable value.
type Knowledge struct {
	seen []Seen
}

// Seen returns what is known of an endpoint, the zero value when nothing is.
func (k Knowledge) Seen(name string) Seen {
	for _, s := range k.seen {
		if s.Endpoint == name {
			return s
		}
	}
	return Seen{Endpoint: name}
}

func (k Knowledge) with(next Seen) Knowledge {
	out := slices.Clone(k.seen)
	for i, s := range out {
		if s.Endpoint == next.Endpoint {
			out[i] = next
			return Knowledge{seen: out}
		}
	}
	return Knowledge{seen: append(out, next)}
}

// WithStatus returns the knowledge after an endpoint's owner has told its status.
func (k Knowledge) WithStatus(name string, status endpoint.Status, waiting int, now time.Time) Knowledge {
	s := k.Seen(name)
	s.Status, s.At, s.Waiting, s.Avoid = status, now, waiting, time.Time{}
	return k.with(s)
}

// WithStale returns the knowledge after an endpoint was not fresh enough for a need.
func (k Knowledge) WithStale(name string, need session.Requirement, until time.Time) Knowledge {
	s := k.Seen(name)
	s.Stale, s.StaleUntil = need, until
	return k.with(s)
}

// WithAvoid returns the knowledge after a failure at an endpoint that is to be avoided for a while.
func (k Knowledge) WithAvoid(name string, until time.Time) Knowledge {
	s := k.Seen(name)
	s.Avoid = until
	return k.with(s)
}

// Primary returns the endpoint that leads under the highest term known, and false when a higher term was promised
// elsewhere or none leads.
func (k Knowledge) Primary() (string, bool) {
	var best Seen
	highest := endpoint.FencedTerm(0)
	for _, s := range k.seen {
		highest = max(highest, s.Status.Fenced)
		if s.Status.Leads() && s.Status.Fenced > best.Status.Fenced {
			best = s
		}
	}
	if best.Endpoint == "" || best.Status.Fenced < highest {
		return best.Endpoint, false
	}
	return best.Endpoint, true
}
