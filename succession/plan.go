package succession

import (
	"slices"

	"siskincove/endpoint"
)

// Replica is an endpoint whose log may hold a commit that the old primary has acknowledged.
type Replica struct {
	Name string
	// Leaving replicas are promoted only if no other log is as long.
	Leaving bool
}

// Plan is the input of a Succession.
type Plan struct {
	// Term is above every term that any endpoint knows or is held under, and no other succession uses it.
	Term endpoint.FencedTerm
	// Fence is the fencing token of this succession's promotion requests. No other succession uses it.
	Fence uint64
	// OldPrimary is the primary to be replaced, empty when none is known. OldPrimaryAnswers is set if it still leads and
	// answers.
	OldPrimary        string
	OldPrimaryAnswers bool
	// Unreplicated is set if no replica receives from the old primary, so that its log ends beyond every other.
	Unreplicated bool
	// Replicas are all endpoints but the old primary.
	Replicas []Replica
	// Acknowledge is the number of replicas that must receive a commit before it is acknowledged.
	Acknowledge int
	// Floor is what an endpoint's log must reach for its promotion.
	Floor Floor
	// AcceptLoss is set if no endpoint has been found for long that has every commit which is known to have been acknowledged.
	AcceptLoss bool
	// Contested is set if another succession held replicas. A promotion request of it may still be outstanding.
	Contested bool
}

// Floor is what a log must reach to hold every commit that was acknowledged before the old primary's term. Those commits
// are in the old primary's log and in the logs of replicas of earlier primaries, which may be gone. A replica has them once
// it has received a record of the old primary's term, or the whole log with which that term began.
type Floor struct {
	// Term is the old primary's term.
	Term endpoint.FencedTerm
	// Start is the end of the log with which the term began; it is valid if Known is set.
	Start endpoint.Position
	Known bool
}

// reachedBy reports whether a log holds every commit that was acknowledged before the old primary's term.
func (f Floor) reachedBy(log endpoint.Position) bool {
	return uint64(log.Term) >= uint64(f.Term) || f.Known && log.Covers(f.Start)
}

// hasReplica reports whether an endpoint is one of the plan's replicas.
func (p Plan) hasReplica(name string) bool {
	return slices.ContainsFunc(p.Replicas, func(r Replica) bool { return r.Name == name })
}

// Plan returns the plan that the succession was created with.
func (s Succession) Plan() Plan { return s.plan }
