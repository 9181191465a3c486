package failover

import (
	"slices"
	"time"

	"siskincove/endpoint"
	"siskincove/session"
)

// Sight is what was learned of one endpoint in a round; Known is false when its owner did not answer.
type Observation struct {
	Endpoint string
	Known    bool
	Status   endpoint.Status
	// Silence is for how long the endpoint has not answered its owner, 0 when it answers.
	Silence time.Duration
	// Leaving is set when the endpoint is declared so.
	Leaving bool
}

func (s Observation) answers() bool { return s.Known && s.Silence == 0 }

// Reason is the evidence that a primary is lost.
type Reason string

const (
	// NoReason means that the primary works.
	NoReason Reason = ""
	// Silent means that the primary does not answer its owner.
	Silent Reason = "primary does not answer"
	// Isolated means that too few endpoints receive from the primary for a commit to be confirmed.
	Isolated Reason = "primary is cut off from its group"
	// Leaderless means that no endpoint leads.
	Leaderless Reason = "no endpoint leads"
	// Departing means that the primary is declared leaving.
	Departing Reason = "primary is declared leaving"
	// Split means that an endpoint has promised a higher term than the primary's and so can't follow it.
	Split Reason = "an endpoint has promised a higher term"
)

// splitPatience is how long an endpoint may stand apart before a ballot reunites the group.
const splitPatience = 5 * time.Second

// Timing says how long evidence must last.
type Timing struct {
	// Silence is for the first coordinator.
	Silence time.Duration
	// Stagger is added for each coordinator before this one.
	Stagger time.Duration
}

// Watch keeps how long the evidence against a primary has lasted; it is an immutable value.
type Watch struct {
	reason Reason
	since  time.Time
}

// Judgement is what a round of sights leads to.
type Decision struct {
	// Lost is set when a ballot should start.
	Lost   bool
	Reason Reason
	// Excluded endpoints should be asked for no promise.
	Excluded []string
	// Leader is the working primary, and Mend the endpoints that should be told to follow it.
	Leader   string
	Term     endpoint.FencedTerm
	Reattach []string
	// Highest is the highest term promised.
	Highest endpoint.FencedTerm
}

// Take returns the watch after a round and what follows from it; rank is this coordinator's place in the order.
func (w Watch) Observe(sights []Observation, rank int, timing Timing, now time.Time) (Watch, Decision) {
	j := Decision{Highest: highestTerm(sights)}
	leader, found := findLeader(sights)
	reason, lasted := evidence(sights, leader, found)
	if reason != w.reason {
		w = Watch{reason: reason, since: now}
	}
	j.Reason = reason
	if reason == NoReason {
		j.Leader, j.Term = leader.Endpoint, leader.Status.Fenced
		j.Reattach = strays(sights, leader)
		return w, j
	}
	switch reason {
	case Isolated:
		j.Excluded = []string{leader.Endpoint}
	case Departing:
		j.Excluded = departing(sights)
	}
	lasted = max(lasted, now.Sub(w.since))
	j.Lost = ballotPossible(sights, j.Excluded) && lasted >= required(reason, rank, timing)
	return w, j
}

func required(reason Reason, rank int, timing Timing) time.Duration {
	base := timing.Silence
	if reason == Split {
		base = splitPatience
	}
	return base + time.Duration(rank)*timing.Stagger
}

func highestTerm(sights []Observation) endpoint.FencedTerm {
	highest := endpoint.FencedTerm(0)
	for _, s := range sights {
		if s.Known {
			highest = max(highest, s.Status.Fenced)
		}
	}
	return highest
}

// findLeader returns the endpoint that leads under the highest term, also one that has fallen silent since.
func findLeader(sights []Observation) (Observation, bool) {
	var best Observation
	found := false
	for _, s := range sights {
		if s.Known && s.Status.Leads() && (!found || s.Status.Fenced > best.Status.Fenced) {
			best, found = s, true
		}
	}
	return best, found
}

// evidence returns what speaks against the primary, and for how long its owner has seen it already.
func evidence(sights []Observation, leader Observation, found bool) (Reason, time.Duration) {
	if !found {
		return absent(sights), 0
	}
	if leader.Silence > 0 {
		return Silent, leader.Silence
	}
	receiving, higher := 1, false
	for _, s := range sights {
		if s.Endpoint == leader.Endpoint {
			continue
		}
		if !s.Known || s.Status.Receiving && s.Silence == 0 && s.Status.Fenced == leader.Status.Fenced {
			receiving++
		}
		higher = higher || s.answers() && s.Status.Fenced > leader.Status.Fenced
	}
	if receiving < session.Majority(len(sights)) {
		return cause(sights, leader), 0
	}
	switch {
	case higher:
		return Split, 0
	case leader.Leaving && successors(sights, leader) >= session.Majority(len(sights)):
		return Departing, 0
	default:
		return NoReason, 0
	}
}

// departing returns the endpoints that are declared leaving.
func departing(sights []Observation) []string {
	var out []string
	for _, s := range sights {
		if s.Leaving {
			out = append(out, s.Endpoint)
		}
	}
	return out
}

// successors counts the answering endpoints that could lead in the place of one that leaves.
func successors(sights []Observation, leader Observation) int {
	n := 0
	for _, s := range sights {
		if s.Endpoint != leader.Endpoint && s.answers() && !s.Leaving {
			n++
		}
	}
	return n
}

// cause tells an isolated primary from one whose replicas are merely down, which a ballot would not help.
func cause(sights []Observation, leader Observation) Reason {
	answering := 0
	for _, s := range sights {
		if s.Endpoint != leader.Endpoint && s.answers() {
			answering++
		}
	}
	if answering >= session.Majority(len(sights)) {
		return Isolated
	}
	return NoReason
}

// absent tells a group without a primary from one whose primary's owner can't be asked: replicas that receive have one.
func absent(sights []Observation) Reason {
	for _, s := range sights {
		if s.answers() && s.Status.Receiving {
			return NoReason
		}
	}
	return Leaderless
}

func ballotPossible(sights []Observation, excluded []string) bool {
	answering := 0
	for _, s := range sights {
		if s.answers() && !slices.Contains(excluded, s.Endpoint) {
			answering++
		}
	}
	return answering >= session.Majority(len(sights))
}

// strays returns the answering endpoints that do not receive from the leader but could be told to.
func strays(sights []Observation, leader Observation) []string {
	if leader.Endpoint == "" {
		return nil
	}
	var out []string
	for _, s := range sights {
		if s.Endpoint == leader.Endpoint || !s.answers() || s.Status.Fenced > leader.Status.Fenced {
			continue
		}
		if s.Status.Fenced < leader.Status.Fenced || !s.Status.Receiving {
			out = append(out, s.Endpoint)
		}
	}
	return out
}
