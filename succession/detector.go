package succession

import (
	"time"

	"siskincove/endpoint"
)

// ProbeResult is the result of one probe of an endpoint.
type ProbeResult struct {
	Endpoint    string
	Incarnation uint64
	// Answered is set if the endpoint answered, even if only that it has no free slot.
	Answered bool
	// Connection is the number of the connection over which the status came. It changes with a restart of the endpoint.
	Connection uint64
	// Refused is set if the endpoint's address refused the connection.
	Refused bool
	// Status is the status that the endpoint returned, nil if it returned none.
	Status  *endpoint.PlatformStatus
	Leaving bool
	// Departed is set if the endpoint is no longer registered. Successor is then the registered endpoint of which it is a former
	// incarnation, empty for none.
	Departed  bool
	Successor string
}

// Survey is what is known of a group after a probe of all its endpoints.
type Survey struct {
	// Primary is the endpoint that was known to lead before the probes, empty for none. ProvenAt is when that was last
	// proved, by this instance or a peer.
	Primary  string
	ProvenAt time.Time
	Results  []ProbeResult
	// Acknowledge is the number of replicas that must receive a commit before it is acknowledged.
	Acknowledge int
	// AcceptLoss is set if no endpoint has been found for long whose log has every acknowledged commit.
	AcceptLoss bool
}

// Reason is why a primary should be replaced.
type Reason string

const (
	// NoReason means that the primary works.
	NoReason Reason = ""
	// Refusing means that the primary's address refuses connections.
	Refusing Reason = "primary refuses connections"
	// Unresponsive means that the primary does not answer.
	Unresponsive Reason = "primary does not answer"
	// Leaderless means that no endpoint leads.
	Leaderless Reason = "no endpoint leads"
	// Leaving means that the primary is leaving.
	Leaving Reason = "primary is leaving"
	// Overloaded means that the primary has no free slots while no replica is fresh enough to serve reads. A promoted
	// replica serves reads up to the end of its log at once, and the former primary becomes a fresh replica.
	Overloaded Reason = "primary has no free slots and all replicas lag"
	// Isolated means that no replica receives the primary's log.
	Isolated Reason = "no replica receives from the primary"
	// Abandoned means that replicas are held for a succession that has ended. It is no evidence against the primary.
	Abandoned Reason = "holds were abandoned"
)

// Timing holds how long the evidence for each Reason must last before the primary is replaced, and related limits.
type Timing struct {
	// Refusing applies to a primary whose address refuses connections, as after a crash, and to a group without a primary.
	Refusing time.Duration
	// Unresponsive applies to a primary that does not answer, as in a network partition.
	Unresponsive time.Duration
	// Isolated applies to a primary whose log no replica receives.
	Isolated time.Duration
	// Stagger is added once for each coordinator that ranks before this one.
	Stagger time.Duration
	// Overloaded applies to a primary without free slots, or whose running and waiting statements number at least BusySlots,
	// while every replica lags by MaxLag or more. Within OverloadPause of a change of the term, no primary is replaced for
	// overload.
	Overloaded    time.Duration
	BusySlots     int
	MaxLag        time.Duration
	OverloadPause time.Duration
	// HoldTimeout is the age at which a hold counts as abandoned by its coordinator.
	HoldTimeout time.Duration
}

// Detector tracks how long the evidence against a primary has lasted; it is an immutable value.
type Detector struct {
	reason Reason
	since  time.Time
	// unreplicated is a position of the primary's log that no replica has reached since unreplicatedSince, zero for none.
	unreplicated      endpoint.Position
	unreplicatedSince time.Time
	// overloadedSince is since when the primary has had no free slot while all replicas lagged, and lastSaturated when it
	// last had no free slot.
	overloadedSince time.Time
	lastSaturated   time.Time
	// term is the newest term observed. termChanged is when it last rose, zero before a second one was observed.
	term        endpoint.FencedTerm
	termChanged time.Time
	// floor is what a log must reach under the newest term observed.
	floor Floor
	// holds are the current holds and when each was first observed.
	holds []observedHold
	// lastPrimary is the endpoint that was last seen to lead, and demoted the same after it became a replica.
	lastPrimary lastPrimary
	demoted     demotedPrimary
	// listedPrimary is the last primary that the store lists, which may be older than lastPrimary.
	listedPrimary lastPrimary
	// endedTerm is the term of this coordinator's last succession, 0 for none.
	endedTerm endpoint.FencedTerm
	// absences are the endpoints that do not answer.
	absences []absence
}

// Assessment is the conclusion from a survey.
type Assessment struct {
	// Primary is the endpoint that reports to lead under the newest term, empty for none, and Position the end of its log.
	Primary  string
	Position endpoint.Position
	// Reason is the evidence against the primary, and Since when it began.
	Reason Reason
	Since  time.Time
	// Replace is set when a succession should start. OldPrimary is the endpoint that it replaces, whose log is not counted;
	// it is empty when none is known.
	Replace    bool
	OldPrimary string
	// BlockedBy says why a due succession cannot start, empty if it can.
	BlockedBy string
	// Unreplicated is set if no replica has received from the primary for Timing.Isolated.
	Unreplicated bool
	// Floor is what an endpoint's log must reach for its promotion.
	Floor Floor
	// Contested is set if replicas are held by another succession.
	Contested bool
	// Release are replicas whose holds were abandoned.
	Release []string
	// Settled are departed endpoints whose commits another replica has.
	Settled []string
	// Term is the newest term that any endpoint knows or is held under.
	Term endpoint.FencedTerm
}

// Observe returns the detector after a survey, and its assessment. rank is this coordinator's index among the database's
// coordinators.
func (d Detector) Observe(s Survey, rank int, t Timing, now time.Time) (Detector, Assessment) {
	a := Assessment{Term: newestTerm(s.Results)}
	primary := newestPrimary(s.Results)
	if primary != nil {
		a.Primary, a.Position = primary.Endpoint, primary.Status.Log
	}
	d = d.withUnreplicated(primary, s.Results, now).withFloor(primary, s.Results).withOverload(s, primary, t, now)
	d, a.Settled = d.withDemoted(primary, s.Results).withAbsences(s, primary)
	reason := d.evidence(s, primary, t, now)
	if reason != d.reason {
		d.reason, d.since = reason, now
	}
	// If a peer or callers' statements have proved since the evidence began that the primary leads, the evidence has to last
	// anew.
	if reason != NoReason && reason != Leaving && reason != Isolated && reason != Overloaded && s.ProvenAt.After(d.since) {
		d.since = now
	}
	a.Floor, a.Unreplicated = d.floor, d.isUnreplicated(t, now)
	a.Reason, a.Since, a.OldPrimary = reason, d.since, oldPrimary(s, a.Primary)
	d = d.withHolds(s.Results, now)
	a.Contested = len(d.holds) > 0
	if reason != NoReason && now.Sub(d.since) >= t.threshold(reason, rank) {
		a.BlockedBy = d.blockedBy(s, a, t, rank, now)
		a.Replace = a.BlockedBy == ""
	}
	if primary != nil && !a.Replace {
		a.Release = d.abandonedHolds(t, now)
	}
	return d, a
}

// oldPrimary returns the endpoint to be replaced: the current primary, or the last one if it does not answer. A former
// primary that reports to be a replica is counted like the others.
func oldPrimary(s Survey, primary string) string {
	if primary != "" {
		return primary
	}
	for _, result := range s.Results {
		if result.Endpoint == s.Primary && result.Status != nil {
			return ""
		}
	}
	return s.Primary
}

func newestTerm(results []ProbeResult) endpoint.FencedTerm {
	newest := endpoint.FencedTerm(0)
	for _, r := range results {
		if r.Status != nil {
			newest = max(newest, r.Status.Term, r.Status.Held)
		}
	}
	return newest
}

// newestPrimary returns the result of the endpoint that leads under the newest term, nil for none.
func newestPrimary(results []ProbeResult) *ProbeResult {
	var best *ProbeResult
	for i, r := range results {
		if r.Status != nil && r.Status.Role == endpoint.Primary && (best == nil || r.Status.Term > best.Status.Term) {
			best = &results[i]
		}
	}
	return best
}

func (d Detector) evidence(s Survey, primary *ProbeResult, t Timing, now time.Time) Reason {
	if primary != nil {
		switch {
		case primary.Leaving && countSuccessors(s.Results, primary.Endpoint) > 0 && d.unreplicated == (endpoint.Position{}):
			// Otherwise no replica may have the whole log, and a demotion would be in vain.
			return Leaving
		case s.Acknowledge > 0 && d.isOverloaded(t, now):
			return Overloaded
		case d.isUnreplicated(t, now):
			return Isolated
		default:
			return NoReason
		}
	}
	for _, result := range s.Results {
		if result.Endpoint != s.Primary {
			continue
		}
		switch {
		case result.Answered && result.Status == nil:
			// It has no free slot, but it is alive.
			return NoReason
		case result.Refused:
			return Refusing
		case !result.Answered:
			return Unresponsive
		}
	}
	return Leaderless
}

// isUnreplicated reports whether no replica has received from the primary for long.
func (d Detector) isUnreplicated(t Timing, now time.Time) bool {
	return d.unreplicated != (endpoint.Position{}) && now.Sub(d.unreplicatedSince) >= t.Isolated
}

// withUnreplicated records a position of the primary's log until a replica reaches it.
func (d Detector) withUnreplicated(primary *ProbeResult, results []ProbeResult, now time.Time) Detector {
	if primary == nil {
		return d
	}
	replicas, reached := 0, false
	for _, r := range results {
		if r.Endpoint == primary.Endpoint || r.Status == nil {
			continue
		}
		replicas++
		reached = reached || r.Status.Log.Covers(d.unreplicated) && d.unreplicated != (endpoint.Position{}) || r.Status.Log.Covers(primary.Status.Log)
	}
	switch {
	case replicas == 0 || reached:
		d.unreplicated, d.unreplicatedSince = endpoint.Position{}, time.Time{}
	case d.unreplicated == (endpoint.Position{}):
		d.unreplicated, d.unreplicatedSince = primary.Status.Log, now
	}
	return d
}

// withFloor updates the floor. A primary that has written nothing yet reports the end of the log with which its term
// began.
func (d Detector) withFloor(primary *ProbeResult, results []ProbeResult) Detector {
	for _, r := range results {
		if r.Status != nil && r.Status.Term > d.floor.Term {
			d.floor = Floor{Term: r.Status.Term}
		}
	}
	if primary != nil && primary.Status.Term == d.floor.Term && uint64(primary.Status.Log.Term) < uint64(d.floor.Term) {
		d.floor.Start, d.floor.Known = primary.Status.Log, true
	}
	return d
}

// countSuccessors counts the endpoints that answer and could replace a leaving primary.
func countSuccessors(results []ProbeResult, primary string) int {
	n := 0
	for _, r := range results {
		if r.Endpoint != primary && r.Status != nil && !r.Leaving {
			n++
		}
	}
	return n
}

// threshold returns how long evidence must last before the coordinator of a rank acts on it. Isolated and overloaded
// primaries are reported only after their time in Timing, and a leaving one is replaced at once.
func (t Timing) threshold(r Reason, rank int) time.Duration {
	stagger := time.Duration(rank) * t.Stagger
	switch r {
	case Refusing, Leaderless:
		return t.Refusing + stagger
	case Unresponsive:
		return t.Unresponsive + stagger
	default:
		return stagger
	}
}

// afterAttempt returns the detector after a succession under a term. It keeps what it knows of the group, but evidence against
// the primary has to build up again.
func (d Detector) afterAttempt(ended endpoint.FencedTerm) Detector {
	return Detector{floor: d.floor, holds: d.holds, endedTerm: ended, lastPrimary: d.lastPrimary, demoted: d.demoted, listedPrimary: d.listedPrimary, term: d.term, termChanged: d.termChanged, absences: d.absences}
}
