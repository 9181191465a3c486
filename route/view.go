package route

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Observation is what an instance last learned of an endpoint.
type Observation struct {
	Endpoint string
	Status   endpoint.Status
	At       time.Time
	// Waiting is the number of requests that waited for a slot there.
	Waiting int
	// AvoidUntil is the time until which the endpoint is tried only if no other is left.
	AvoidUntil time.Time
	// StaleRequirement is the last requirement for which the endpoint was not fresh enough. It is assumed not to be until
	// StaleUntil.
	StaleRequirement session.Requirement
	StaleUntil       time.Time
}

// isBehind reports whether the endpoint was recently not fresh enough for a requirement that was at most as strict as this
// one.
func (o Observation) isBehind(required session.Requirement, now time.Time) bool {
	if !now.Before(o.StaleUntil) {
		return false
	}
	atLeastAsStrict := required.MaxAge > 0 && (o.StaleRequirement.MaxAge == 0 || required.MaxAge <= o.StaleRequirement.MaxAge)
	lessStrict := o.StaleRequirement.MaxAge > 0 && !atLeastAsStrict
	return required.Position.Covers(o.StaleRequirement.Position) && !lessStrict
}

// View is what an instance has observed of a database's endpoints. It is an immutable value.
type View struct {
	observations []Observation
}

// Observation returns what is known of an endpoint, with only its name set if nothing is.
func (v View) Observation(name string) Observation {
	for _, o := range v.observations {
		if o.Endpoint == name {
			return o
		}
	}
	return Observation{Endpoint: name}
}

func (v View) with(next Observation) View {
	out := slices.Clone(v.observations)
	for i, o := range out {
		if o.Endpoint == next.Endpoint {
			out[i] = next
			return View{observations: out}
		}
	}
	return View{observations: append(out, next)}
}

// WithStatus returns the view after an endpoint's owner has reported its status.
func (v View) WithStatus(name string, status endpoint.Status, waiting int, now time.Time) View {
	o := v.Observation(name)
	o.Status, o.At, o.Waiting, o.AvoidUntil = status, now, waiting, time.Time{}
	return v.with(o)
}

// WithStale returns the view after an endpoint was not fresh enough for a requirement.
func (v View) WithStale(name string, required session.Requirement, until time.Time) View {
	o := v.Observation(name)
	o.StaleRequirement, o.StaleUntil = required, until
	return v.with(o)
}

// WithAvoid returns the view after a failure at an endpoint, which is to be avoided until the given time.
func (v View) WithAvoid(name string, until time.Time) View {
	o := v.Observation(name)
	o.AvoidUntil = until
	return v.with(o)
}

// Primary returns the endpoint that leads under the highest term known. It returns false if no endpoint leads, or if
// another has promised a higher term; the name is then that of the endpoint that leads under a lower term, if any.
func (v View) Primary() (string, bool) {
	var best Observation
	highest := endpoint.FencedTerm(0)
	for _, o := range v.observations {
		highest = max(highest, o.Status.Fenced)
		if o.Status.Leads() && o.Status.Fenced > best.Status.Fenced {
			best = o
		}
	}
	if best.Endpoint == "" || best.Status.Fenced < highest {
		return best.Endpoint, false
	}
	return best.Endpoint, true
}
