package failover

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Observation is what one round learned about an endpoint; Known is false if no status came from its owner.
type Observation struct {
	Endpoint string
	Known    bool
	Status   endpoint.Status
	// UnresponsiveFor is how long the endpoint has not answered its owner, 0 if it answers.
	UnresponsiveFor time.Duration
	// Leaving is set if the configuration declares the endpoint leaving.
	Leaving bool
}

func (o Observation) answers() bool { return o.Known && o.UnresponsiveFor == 0 }

// Reason says why a primary counts as lost or has to be replaced; its text is logged.
type Reason string

const (
	// NoReason means that the primary works or that a ballot would not help.
	NoReason Reason = ""
	// Unresponsive means that the primary does not answer its owner.
	Unresponsive Reason = "primary does not answer"
	// Isolated means that too few endpoints receive from the primary to confirm a commit, although a majority of the group,
	// the primary not counted, answers.
	Isolated Reason = "primary is cut off from its group"
	// Leaderless means that no endpoint is known to be primary and no replica receives from one.
	Leaderless Reason = "no endpoint leads"
	// Leaving means that the primary is declared leaving and enough endpoints can take over.
	Leaving Reason = "primary is declared leaving"
	// Split means that an endpoint has promised a higher term than the primary's and so can't follow it, as after a failed
	// ballot.
	Split Reason = "an endpoint has promised a higher term"
)

// splitTimeout is how long an endpoint may hold a higher term than the primary before a ballot reunites the group.
const splitTimeout = 5 * time.Second

// Timing sets how long a reason must persist before a ballot starts.
type Timing struct {
	// MinDuration is the time for the first coordinator.
	MinDuration time.Duration
	// Stagger is added once for each coordinator ranked before this one.
	Stagger time.Duration
}

// Detector is the state of the failure detector: the current reason and since when it holds. It is an immutable value.
type Detector struct {
	reason Reason
	since  time.Time
}

// Decision is what to do after a round of observations.
type Decision struct {
	// StartBallot is set when a ballot should start.
	StartBallot bool
	Reason      Reason
	// Excluded endpoints must not be fenced or elected by the ballot.
	Excluded []string
	// Primary is the working primary, Term its term and Reattach the endpoints that should follow it.
	Primary  string
	Term     endpoint.FencedTerm
	Reattach []string
	// Highest is the highest term that any endpoint has promised.
	Highest endpoint.FencedTerm
}

// Observe returns the detector and the decision after a round; rank is this coordinator's index among the coordinators.
func (d Detector) Observe(observations []Observation, rank int, timing Timing, now time.Time) (Detector, Decision) {
	decision := Decision{Highest: highestTerm(observations)}
	primary, found := findPrimary(observations)
	reason, lasted := findReason(observations, primary, found)
	if reason != d.reason {
		d = Detector{reason: reason, since: now}
	}
	decision.Reason = reason
	if reason == NoReason {
		decision.Primary, decision.Term = primary.Endpoint, primary.Status.Fenced
		decision.Reattach = detached(observations, primary)
		return d, decision
	}
	switch reason {
	case Isolated:
		decision.Excluded = []string{primary.Endpoint}
	case Leaving:
		decision.Excluded = leavingEndpoints(observations)
	}
	lasted = max(lasted, now.Sub(d.since))
	decision.StartBallot = majorityAnswers(observations, decision.Excluded) && lasted >= requiredDuration(reason, rank, timing)
	return d, decision
}

func requiredDuration(reason Reason, rank int, timing Timing) time.Duration {
	base := timing.MinDuration
	if reason == Split {
		base = splitTimeout
	}
	return base + time.Duration(rank)*timing.Stagger
}

func highestTerm(observations []Observation) endpoint.FencedTerm {
	highest := endpoint.FencedTerm(0)
	for _, o := range observations {
		if o.Known {
			highest = max(highest, o.Status.Fenced)
		}
	}
	return highest
}

// findPrimary returns the primary of the highest term, even if it no longer answers its owner.
func findPrimary(observations []Observation) (Observation, bool) {
	var best Observation
	found := false
	for _, o := range observations {
		if o.Known && o.Status.Leads() && (!found || o.Status.Fenced > best.Status.Fenced) {
			best, found = o, true
		}
	}
	return best, found
}

// findReason returns the reason to replace the primary, and how long its owner has already observed that reason.
func findReason(observations []Observation, primary Observation, found bool) (Reason, time.Duration) {
	if !found {
		return leaderlessReason(observations), 0
	}
	if primary.UnresponsiveFor > 0 {
		return Unresponsive, primary.UnresponsiveFor
	}
	receiving, higher := 1, false
	for _, o := range observations {
		if o.Endpoint == primary.Endpoint {
			continue
		}
		// An endpoint whose status is not known may receive from the primary.
		if !o.Known || o.Status.Receiving && o.UnresponsiveFor == 0 && o.Status.Fenced == primary.Status.Fenced {
			receiving++
		}
		higher = higher || o.answers() && o.Status.Fenced > primary.Status.Fenced
	}
	if receiving < session.Majority(len(observations)) {
		return isolationReason(observations, primary), 0
	}
	switch {
	case higher:
		return Split, 0
	case primary.Leaving && countSuccessors(observations, primary) >= session.Majority(len(observations)):
		return Leaving, 0
	default:
		return NoReason, 0
	}
}

// leavingEndpoints returns the endpoints that are declared leaving.
func leavingEndpoints(observations []Observation) []string {
	var out []string
	for _, o := range observations {
		if o.Leaving {
			out = append(out, o.Endpoint)
		}
	}
	return out
}

// countSuccessors counts the answering endpoints that could replace a leaving primary.
func countSuccessors(observations []Observation, primary Observation) int {
	n := 0
	for _, o := range observations {
		if o.Endpoint != primary.Endpoint && o.answers() && !o.Leaving {
			n++
		}
	}
	return n
}

// isolationReason distinguishes an isolated primary from one whose replicas are down, where a ballot would not help.
func isolationReason(observations []Observation, primary Observation) Reason {
	answering := 0
	for _, o := range observations {
		if o.Endpoint != primary.Endpoint && o.answers() {
			answering++
		}
	}
	if answering >= session.Majority(len(observations)) {
		return Isolated
	}
	return NoReason
}

// leaderlessReason distinguishes a group without a primary from one whose primary's owner can't be reached: in the
// latter, replicas still receive.
func leaderlessReason(observations []Observation) Reason {
	for _, o := range observations {
		if o.answers() && o.Status.Receiving {
			return NoReason
		}
	}
	return Leaderless
}

func majorityAnswers(observations []Observation, excluded []string) bool {
	answering := 0
	for _, o := range observations {
		if o.answers() && !slices.Contains(excluded, o.Endpoint) {
			answering++
		}
	}
	return answering >= session.Majority(len(observations))
}

// detached returns the answering endpoints that do not receive from the primary but could follow it.
func detached(observations []Observation, primary Observation) []string {
	if primary.Endpoint == "" {
		return nil
	}
	var out []string
	for _, o := range observations {
		if o.Endpoint == primary.Endpoint || !o.answers() || o.Status.Fenced > primary.Status.Fenced {
			continue
		}
		if o.Status.Fenced < primary.Status.Fenced || !o.Status.Receiving {
			out = append(out, o.Endpoint)
		}
	}
	return out
}
