package succession

import (
	"time"

	"siskincove/endpoint"
)

// Sight is what one look at an endpoint gave.
type ProbeResult struct {
	Endpoint string
	// Answered tells that the endpoint answered, if only that it has no free slot.
	Answered bool
	// Refused tells that nothing listens at the endpoint's address.
	Refused bool
	// Standing is what the endpoint said of itself, nil when it said nothing.
	Standing *endpoint.Standing
	Leaving  bool
	// Departed tells that the endpoint is not registered any more.
	Departed bool
}

// Survey is what is known of a group after a look at all its endpoints.
type Survey struct {
	// Lead is the endpoint that was known to lead before the look, empty for none, and Proven when that was last proved,
	// also by what peers tell.
	Primary  string
	ProvenAt time.Time
	Results  []ProbeResult
	// Acknowledge is how many replicas have received an acknowledged commit.
	Acknowledge int
}

// Reason is the evidence that a primary has to be replaced.
type Reason string

const (
	// NoReason means that the primary works.
	NoReason Reason = ""
	// Refusing means that nothing listens at the primary's address.
	Refusing Reason = "primary refuses connections"
	// Silent means that the primary does not answer.
	Unresponsive Reason = "primary does not answer"
	// Leaderless means that no endpoint leads.
	Leaderless Reason = "no endpoint leads"
	// Departing means that the primary is leaving.
	Leaving Reason = "primary is leaving"
	// Pressed means that the primary has no free slots while no replica is fresh enough to take reads. A replica that is
	// promoted can be read up to the end of its log at once, and the former primary then is a fresh replica.
	Overloaded Reason = "primary has no free slots and all replicas lag"
	// Isolated means that no replica receives what the primary writes.
	Isolated Reason = "no replica receives from the primary"
)

// Timing says how long evidence must last.
type Timing struct {
	// Refusing is for a primary whose address refuses connections, as after a crash.
	Refusing time.Duration
	// Silent is for one that does not answer, as behind a cut.
	Unresponsive time.Duration
	// Isolated is for one whose replicas do not receive.
	Isolated time.Duration
	// Stagger is added for each coordinator before this one.
	Stagger time.Duration
	// Pressed is for one without free slots, where at least Waiting statements run or wait, while all replicas lag by more
	// than Lag; it is replaced at most once in Pause.
	Overloaded    time.Duration
	BusySlots     int
	MaxLag        time.Duration
	OverloadPause time.Duration
	// Stale is how old a hold must be before it counts as forgotten by its owner.
	HoldTimeout time.Duration
}

// Watch keeps how long the evidence against a primary has lasted; it is an immutable value.
type Detector struct {
	reason Reason
	since  time.Time
	// mark is where the primary's log stood when no replica had come as far, and marked since when.
	mark   endpoint.Position
	marked time.Time
	// pressed is since when the primary has had no free slot while all replicas lagged, and busy when it last said so.
	pressed time.Time
	busy    time.Time
	// term is the newest one seen, and changed since when.
	term    endpoint.FencedTerm
	changed time.Time
	// floor is that of the newest primary seen.
	floor Floor
	// holds are the holds seen, and since when.
	holds []seenHold
	// absences are the endpoints that do not answer.
	absences []absence
}

// Judgement is what a look leads to.
type Assessment struct {
	// Lead is the endpoint that said that it leads under the newest term, empty for none.
	Primary  string
	Position endpoint.Position
	Reason   Reason
	Since    time.Time
	// Replace is set when a succession should start, and Lost is the endpoint that it replaces, whose log does not count;
	// empty when none is known.
	Replace    bool
	OldPrimary string
	// Hindrance says why a succession that is due does not start, empty when nothing is in its way.
	BlockedBy string
	// Floor is what a log must reach to be promoted.
	Floor Floor
	// Contested tells that replicas are held by another succession.
	Contested bool
	// Release are replicas whose holds were forgotten.
	Release []string
	// Settled are departed endpoints whose commits are in another replica.
	Settled []string
	// Term is the newest term that any endpoint knows or is held under.
	Term endpoint.FencedTerm
}

// Take returns the watch after a look and what follows from it; rank is this coordinator's place in the order.
func (w Detector) Observe(s Survey, rank int, t Timing, now time.Time) (Detector, Assessment) {
	j := Assessment{Term: newestTerm(s.Results)}
	lead := leadOf(s.Results)
	if lead != nil {
		j.Primary, j.Position = lead.Endpoint, lead.Standing.Log
	}
	w = w.withMark(lead, s.Results, now).withFloor(lead, s.Results).withPress(s, lead, t, now)
	w, j.Settled = w.withAbsences(s, lead)
	reason := w.evidence(s, lead, t, now)
	if reason != w.reason {
		w.reason, w.since = reason, now
	}
	// A proof that came by another way, as from a peer, is newer than the evidence.
	if reason != NoReason && reason != Leaving && reason != Isolated && reason != Overloaded && s.ProvenAt.After(w.since) {
		w.since = now
	}
	j.Floor = w.floor
	j.Reason, j.Since, j.OldPrimary = reason, w.since, lost(s, j.Primary)
	w = w.withHolds(s.Results, now)
	j.Contested = len(w.holds) > 0
	if reason != NoReason && now.Sub(w.since) >= t.patience(reason, rank) {
		j.BlockedBy = w.hindrance(s, j, t, rank, now)
		j.Replace = j.BlockedBy == ""
	}
	if reason == NoReason && lead != nil {
		j.Release = w.forgotten(t, now)
	}
	return w, j
}

// lost returns the endpoint to be replaced: the one that leads, or the one that did and does not answer. One that says it
// is a replica is counted like the others.
func lost(s Survey, lead string) string {
	if lead != "" {
		return lead
	}
	for _, sight := range s.Results {
		if sight.Endpoint == s.Primary && sight.Standing != nil {
			return ""
		}
	}
	return s.Primary
}

func newestTerm(sights []ProbeResult) endpoint.FencedTerm {
	newest := endpoint.FencedTerm(0)
	for _, s := range sights {
		if s.Standing != nil {
			newest = max(newest, s.Standing.Term, s.Standing.Held)
		}
	}
	return newest
}

// leadOf returns the endpoint that leads under the newest term, nil for none.
func leadOf(sights []ProbeResult) *ProbeResult {
	var best *ProbeResult
	for i, s := range sights {
		if s.Standing != nil && s.Standing.Role == endpoint.Primary && (best == nil || s.Standing.Term > best.Standing.Term) {
			best = &sights[i]
		}
	}
	return best
}

func (w Detector) evidence(s Survey, lead *ProbeResult, t Timing, now time.Time) Reason {
	if lead != nil {
		switch {
		case lead.Leaving && successors(s.Results, lead.Endpoint) > 0:
			return Leaving
		case s.Acknowledge > 0 && w.isPressed(t, now):
			return Overloaded
		case w.mark != (endpoint.Position{}) && now.Sub(w.marked) >= t.Isolated:
			return Isolated
		default:
			return NoReason
		}
	}
	for _, sight := range s.Results {
		if sight.Endpoint != s.Primary {
			continue
		}
		switch {
		case sight.Answered && sight.Standing == nil:
			// It is busy, which is an answer.
			return NoReason
		case sight.Refused:
			return Refusing
		case !sight.Answered:
			return Unresponsive
		}
	}
	return Leaderless
}

// withMark keeps where the primary's log stood when no replica had come as far.
func (w Detector) withMark(lead *ProbeResult, sights []ProbeResult, now time.Time) Detector {
	if lead == nil {
		return w
	}
	replicas, reached := 0, false
	for _, s := range sights {
		if s.Endpoint == lead.Endpoint || s.Standing == nil {
			continue
		}
		replicas++
		reached = reached || s.Standing.Log.Covers(w.mark) && w.mark != (endpoint.Position{}) || s.Standing.Log.Covers(lead.Standing.Log)
	}
	switch {
	case replicas == 0 || reached:
		w.mark, w.marked = endpoint.Position{}, time.Time{}
	case w.mark == (endpoint.Position{}):
		w.mark, w.marked = lead.Standing.Log, now
	}
	return w
}

// withFloor keeps what a log must reach to be promoted. A primary that has written nothing yet shows the log with which it
// began.
func (w Detector) withFloor(lead *ProbeResult, sights []ProbeResult) Detector {
	for _, s := range sights {
		if s.Standing != nil && s.Standing.Term > w.floor.Term {
			w.floor = Floor{Term: s.Standing.Term}
		}
	}
	if lead != nil && lead.Standing.Term == w.floor.Term && uint64(lead.Standing.Log.Term) < uint64(w.floor.Term) {
		w.floor.Start, w.floor.Known = lead.Standing.Log, true
	}
	return w
}

// successors counts the answering endpoints that could lead in the place of one that leaves.
func successors(sights []ProbeResult, lead string) int {
	n := 0
	for _, s := range sights {
		if s.Endpoint != lead && s.Standing != nil && !s.Leaving {
			n++
		}
	}
	return n
}

func (t Timing) patience(r Reason, rank int) time.Duration {
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

// again returns the watch after a succession: what was learned stays, evidence has to last anew.
func (w Detector) again() Detector {
	return Detector{floor: w.floor, holds: w.holds, term: w.term, changed: w.changed, absences: w.absences}
}
