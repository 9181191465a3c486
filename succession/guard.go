package succession

import "siskincove/endpoint"

// guard tells which endpoints may acknowledge commits that the log chosen for an outstanding promotion lacks; it is an immutable
// value.
type guard struct {
	plan   Plan
	target string
	held   []heldReplica
}

// guard returns the guard of the promotion that the succession has requested.
func (s Succession) guard() guard {
	return guard{plan: s.plan, target: s.target, held: s.held}
}

// finding is what an endpoint's status tells about an outstanding promotion of another.
type finding string

const (
	silent    finding = "no answer"
	harmless  finding = "replica"
	held      finding = "held"
	holdEnded finding = "hold ended"
	leads     finding = "leads"
)

// inspect returns what an endpoint's status tells.
func (g guard) inspect(name string, status endpoint.PlatformStatus) finding {
	switch {
	case status.Role == endpoint.Primary && name == g.plan.OldPrimary:
		return leads
	case status.Role == endpoint.Primary || !g.holds(name):
		return harmless
	case status.Held >= g.plan.Term:
		return held
	default:
		return holdEnded
	}
}

// holds reports whether an endpoint's hold belongs to the succession.
func (g guard) holds(name string) bool {
	for _, h := range g.held {
		if h.replica.Name == name {
			return true
		}
	}
	return false
}
