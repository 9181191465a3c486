package succession

import (
	"slices"

	"siskincove/endpoint"
)

// absence is an endpoint that does not answer. It may hold acknowledged commits that no endpoint but the primary has,
// until another replica reaches the position that the primary's log had after the endpoint stopped answering. If it
// leaves before that, the primary has their only copy.
type absence struct {
	endpoint string
	// primaryLog is the end of the primary's log after the endpoint stopped answering; it is valid if logKnown is set.
	primaryLog endpoint.Position
	logKnown   bool
	// settled is set once a registered replica has reached primaryLog.
	settled bool
}

// withAbsences updates the absences and returns the departed endpoints whose commits a registered replica has.
func (d Detector) withAbsences(s Survey, primary *ProbeResult) (Detector, []string) {
	var absences []absence
	var settled []string
	for _, result := range s.Results {
		if result.Answered || result.Status != nil || primary == nil && result.Endpoint == s.Primary {
			continue
		}
		a, known := d.absenceOf(result.Endpoint)
		switch {
		case primary != nil && result.Successor == primary.Endpoint, d.isSettledFormer(result, s.Results):
			// An endpoint that leads after a restart has its log.
			a = absence{endpoint: result.Endpoint, settled: true}
		case !known:
			a = absence{endpoint: result.Endpoint}
		case primary != nil && !a.logKnown:
			a.primaryLog, a.logKnown = primary.Status.Log, true
		case a.logKnown && replicated(a.primaryLog, s.Results, ""):
			a.settled = true
		case d.demoted.endpoint != "" && replicated(d.demoted.end, s.Results, d.demoted.endpoint):
			a.settled = true
		}
		absences = append(absences, a)
		if a.settled && result.Departed {
			settled = append(settled, result.Endpoint)
		}
	}
	d.absences = absences
	return d, settled
}

func (d Detector) absenceOf(name string) (absence, bool) {
	for _, a := range d.absences {
		if a.endpoint == name {
			return a, true
		}
	}
	return absence{}, false
}

// hasUnsettled reports whether an endpoint that does not answer may hold commits that no registered replica has.
func (d Detector) hasUnsettled() bool {
	for _, a := range d.absences {
		if !a.settled {
			return true
		}
	}
	return false
}

// demotedPrimary is the last primary after it became a replica without a promotion, as in a succession that the platform did
// not accept. Every acknowledged commit is in its log up to end, and no further one is acknowledged under its term.
type demotedPrimary struct {
	// endpoint is empty if the last primary has not been seen to be a replica.
	endpoint string
	end      endpoint.Position
}

// lastPrimary is the endpoint that was last seen to lead, and its term.
type lastPrimary struct {
	endpoint    string
	incarnation uint64
	term        endpoint.FencedTerm
}

// replaces reports whether p is a later primary than another one, or a later incarnation of it.
func (p lastPrimary) replaces(other lastPrimary) bool {
	return p.endpoint != "" && (p.term > other.term || p.term == other.term && p.incarnation > other.incarnation)
}

// withListedPrimary takes over the last primary that the store lists.
func (d Detector) withListedPrimary(p lastPrimary) Detector {
	if p.replaces(d.listedPrimary) {
		d.listedPrimary = p
	}
	return d
}

// completeLog returns the endpoint that led last, as it is known or listed, and its answer, if that was under the newest term and the log
// ends with a record of that term. Only that endpoint wrote such records, so it has not lost its log, which holds every acknowledged commit.
func (d Detector) completeLog(results []ProbeResult) (lastPrimary, *ProbeResult) {
	for _, p := range []lastPrimary{d.lastPrimary, d.listedPrimary} {
		for i, r := range results {
			if p.endpoint != "" && p.term == d.floor.Term && r.Endpoint == p.endpoint && r.Status != nil && uint64(r.Status.Log.Term) == uint64(p.term) {
				return p, &results[i]
			}
		}
	}
	return lastPrimary{}, nil
}

// isSettledFormer reports whether every commit of a former incarnation is elsewhere: it led last and its successor has its log, or its
// successor answers and a replica has the whole log of the endpoint that led last.
func (d Detector) isSettledFormer(former ProbeResult, results []ProbeResult) bool {
	last, complete := d.completeLog(results)
	if complete == nil || former.Successor == "" {
		return false
	}
	if former.Successor == last.endpoint && last.incarnation <= former.Incarnation {
		return true
	}
	answers := slices.ContainsFunc(results, func(r ProbeResult) bool { return r.Endpoint == former.Successor && r.Status != nil })
	return answers && complete.Status.Role == endpoint.Replica && replicated(complete.Status.Log, results, complete.Endpoint)
}

// withDemoted records whether the last primary has been demoted. The record is valid until a newer term is observed.
func (d Detector) withDemoted(primary *ProbeResult, results []ProbeResult) Detector {
	if primary != nil {
		d.lastPrimary, d.demoted = lastPrimary{endpoint: primary.Endpoint, incarnation: primary.Incarnation, term: primary.Status.Term}, demotedPrimary{}
		return d
	}
	if d.lastPrimary.term != d.floor.Term {
		d.demoted = demotedPrimary{}
		return d
	}
	for _, r := range results {
		last := r.Endpoint == d.lastPrimary.endpoint && r.Incarnation == d.lastPrimary.incarnation
		if last && r.Status != nil && d.demoted.endpoint == "" {
			d.demoted = demotedPrimary{endpoint: r.Endpoint, end: r.Status.Log}
		}
	}
	return d
}

// replicated reports whether the log of a registered replica other than the named one reaches the position end.
func replicated(end endpoint.Position, results []ProbeResult, other string) bool {
	for _, r := range results {
		if r.Endpoint != other && !r.Departed && r.Status != nil && r.Status.Role == endpoint.Replica && r.Status.Log.Covers(end) {
			return true
		}
	}
	return false
}
