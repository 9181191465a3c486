package route

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Seen is what an instance last learned of an endpoint.
type Observation struct {
	Endpoint string
	Status   endpoint.Status
	At       time.Time
	// Waiting is how many requests waited for a slot there.
	Waiting int
	// Avoid is until when the endpoint is tried only if no other is left.
	AvoidUntil time.Time
	// Stale is the last need that the endpoint was not fresh enough for, and until when that is taken to hold.
	StaleNeed  session.Need
	StaleUntil time.Time
}

// behind reports whether the endpoint was lately not fresh enough for a need that asked no more than this one.
func (s Observation) behind(need session.Need, now time.Time) bool {
	if !now.Before(s.StaleUntil) {
		return false
	}
	younger := need.Age > 0 && (s.StaleNeed.Age == 0 || need.Age <= s.StaleNeed.Age)
	older := s.StaleNeed.Age > 0 && !younger
	return need.Token.Covers(s.StaleNeed.Token) && !older
}

// Knowledge is what an instance knows of a database's endpoints; it is an immutable value.
type View struct {
	seen []Observation
}

// Seen returns what is known of an endpoint, the zero value when nothing is.
func (k View) Observation(name string) Observation {
	for _, s := range k.seen {
		if s.Endpoint == name {
			return s
		}
	}
	return Observation{Endpoint: name}
}

func (k View) with(next Observation) View {
	out := slices.Clone(k.seen)
	for i, s := range out {
		if s.Endpoint == next.Endpoint {
			out[i] = next
			return View{seen: out}
		}
	}
	return View{seen: append(out, next)}
}

// WithStatus returns the knowledge after an endpoint's owner has told its status.
func (k View) WithStatus(name string, status endpoint.Status, waiting int, now time.Time) View {
	s := k.Observation(name)
	s.Status, s.At, s.Waiting, s.AvoidUntil = status, now, waiting, time.Time{}
	return k.with(s)
}

// WithStale returns the knowledge after an endpoint was not fresh enough for a need.
func (k View) WithStale(name string, need session.Need, until time.Time) View {
	s := k.Observation(name)
	s.StaleNeed, s.StaleUntil = need, until
	return k.with(s)
}

// WithAvoid returns the knowledge after a failure at an endpoint that is to be avoided for a while.
func (k View) WithAvoid(name string, until time.Time) View {
	s := k.Observation(name)
	s.AvoidUntil = until
	return k.with(s)
}

// Primary returns the endpoint that leads under the highest term known, and false when a higher term was promised
// elsewhere or none leads.
func (k View) Primary() (string, bool) {
	var best Observation
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
