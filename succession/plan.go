package succession

import (
	"siskincove/endpoint"
)

// Replica is an endpoint whose log may hold a commit that the lost primary has acknowledged.
type Replica struct {
	Name string
	// Leaving replicas are chosen only if no other log is as long.
	Leaving bool
}

// Plan is what a succession starts from.
type Plan struct {
	// Term is above every term that any endpoint knows or is held under, and no other succession uses it.
	Term endpoint.FencedTerm
	// Fence is the fencing token of this succession's orders, which no other instance has.
	Fence uint64
	// Lost is the primary to be replaced, empty when none is known, and Answers tells that it still leads and answers.
	OldPrimary string
	Answers    bool
	// Replicas are all endpoints but the lost primary.
	Replicas []Replica
	// Acknowledge is how many replicas have received an acknowledged commit.
	Acknowledge int
	// Floor is what a log must reach to be promoted.
	Floor Floor
	// Contested tells that replicas were held by another succession, an order of which may still be under way.
	Contested bool
}

// Floor is what a log must reach to hold every commit that was acknowledged before the lost primary led. Those were
// received by replicas of an earlier primary, which may be gone, and by the lost one itself; a replica has them once it
// has received anything that the lost primary wrote, or all that it had when it began to lead.
type Floor struct {
	// Term is the term of the lost primary.
	Term endpoint.FencedTerm
	// Start is the log with which it began, if Known.
	Start endpoint.Position
	Known bool
}

// reached reports whether a log holds every commit that was acknowledged before the lost primary led.
func (f Floor) reached(log endpoint.Position) bool {
	return uint64(log.Term) >= uint64(f.Term) || f.Known && log.Covers(f.Start)
}

// Plan returns what the succession started from.
func (s Succession) Plan() Plan { return s.plan }
