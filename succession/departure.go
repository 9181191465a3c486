package succession

import "siskincove/endpoint"

// absence is an endpoint that does not answer. Until another replica has come as far as the primary was after that, it may
// have acknowledged commits that only the primary has; when it leaves, it takes them with it.
type absence struct {
	endpoint string
	// mark is where the primary's log stood after the endpoint had fallen silent, if marked.
	mark   endpoint.Position
	marked bool
	// settled tells that a registered replica has come as far.
	settled bool
}

// withAbsences keeps the absences that are seen, and returns the departed endpoints whose commits are in another replica.
func (w Detector) withAbsences(s Survey, lead *ProbeResult) (Detector, []string) {
	var absences []absence
	var settled []string
	for _, sight := range s.Results {
		if sight.Answered || sight.Standing != nil || lead == nil && sight.Endpoint == s.Primary {
			continue
		}
		a, known := w.absent(sight.Endpoint)
		switch {
		case !known:
			a = absence{endpoint: sight.Endpoint}
		case lead != nil && !a.marked:
			a.mark, a.marked = lead.Standing.Log, true
		case a.marked && kept(a.mark, s.Results):
			a.settled = true
		}
		absences = append(absences, a)
		if a.settled && sight.Departed {
			settled = append(settled, sight.Endpoint)
		}
	}
	w.absences = absences
	return w, settled
}

func (w Detector) absent(name string) (absence, bool) {
	for _, a := range w.absences {
		if a.endpoint == name {
			return a, true
		}
	}
	return absence{}, false
}

// unsettled reports whether the commits of an endpoint that does not answer may be in no other replica.
func (w Detector) unsettled() bool {
	for _, a := range w.absences {
		if !a.settled {
			return true
		}
	}
	return false
}

// kept reports whether a registered replica has come as far as a position.
func kept(mark endpoint.Position, sights []ProbeResult) bool {
	for _, s := range sights {
		if !s.Departed && s.Standing != nil && s.Standing.Role == endpoint.Replica && s.Standing.Log.Covers(mark) {
			return true
		}
	}
	return false
}
