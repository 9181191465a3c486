package succession

import (
	"siskincove/endpoint"
)

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

// guards reports whether a promotion that the succession has requested may be outstanding.
func (s Succession) guards() bool {
	switch s.phase {
	case Promoting, Reconfirming:
		return true
	case Stopped:
		return s.target != "" && s.mayTakeEffect()
	default:
		return false
	}
}

// finding is what an endpoint's status tells about an outstanding promotion of another.
type finding string

const (
	silent    finding = "no answer"
	harmless  finding = "replica"
	held      finding = "held"
	holdEnded finding = "hold ended"
	leads     finding = "leads"
	succeeded finding = "leads a newer term"
)

// inspect returns what an endpoint's status tells.
func (g guard) inspect(name string, status endpoint.PlatformStatus) finding {
	switch {
	case status.Role == endpoint.Primary && status.Term <= g.plan.Floor.Term:
		return leads
	case status.Role == endpoint.Primary && g.succeededBy(name, endpoint.LogTerm(status.Term)):
		return succeeded
	case status.Role == endpoint.Primary || !g.counts(name):
		return harmless
	case status.Held >= g.plan.Term:
		return held
	default:
		return holdEnded
	}
}

// command returns the command that an endpoint gets for a finding, and false if it gets none. A former primary becomes a replica, as
// it could acknowledge commits together with a replica that has returned. A hold that has ended is taken again, whatever ended it: a
// RESUME names no term, so that one which was meant for an older hold, and sent late, ends this one too.
func (g guard) command(f finding) (Command, bool) {
	switch {
	case f == leads:
		return Demote, true
	case f == holdEnded:
		return Hold, true
	default:
		return 0, false
	}
}

// succeededBy reports whether the lead of an endpoint, whose log ends in a term, shows that the old primary has been replaced. Another
// endpoint than the target may be the old primary under another name, unless its term is newer. If no primary was known at the request,
// any may be the old one. A demoted primary that is the target may lead its old term again.
func (g guard) succeededBy(name string, term endpoint.LogTerm) bool {
	return name != g.plan.OldPrimary && (name == g.target || g.plan.OldPrimary != "" && g.isNewTerm(endpoint.FencedTerm(term)))
}

// succeeded reports whether an endpoint leads under a newer term than was known at the request.
func (g guard) succeeded(results []ProbeResult) bool {
	primary := newestPrimary(results)
	return primary != nil && g.isNewTerm(primary.Status.Term)
}

// isNewTerm reports whether a term began after the request. Nothing tells if no term was known then.
func (g guard) isNewTerm(term endpoint.FencedTerm) bool {
	return g.plan.Floor.Term != 0 && term > g.plan.Floor.Term
}

// counts reports whether an endpoint is one of the plan's replicas. Those that did not answer before are held too.
func (g guard) counts(name string) bool {
	return g.plan.hasReplica(name)
}
