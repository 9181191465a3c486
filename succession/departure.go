package succession

import "siskincove/endpoint"

// departure is an endpoint that left and does not answer any more. Until another replica has come as far as the primary
// was after that, it may have taken acknowledged commits with it that only the primary has.
type departure struct {
	endpoint string
	// mark is where the primary's log stood after the endpoint had fallen silent, if marked.
	mark   endpoint.Position
	marked bool
}

// withDepartures keeps the departures that are seen, and returns those whose commits are in another replica by now.
func (w Watch) withDepartures(lead *Sight, sights []Sight) (Watch, []string) {
	var open []departure
	var settled []string
	for _, s := range sights {
		if !s.Departed || s.Standing != nil {
			continue
		}
		d, known := w.departed(s.Endpoint)
		switch {
		case !known:
			d = departure{endpoint: s.Endpoint}
		case lead != nil && !d.marked:
			d.mark, d.marked = lead.Standing.Log, true
		case d.marked && kept(d.mark, sights):
			settled = append(settled, s.Endpoint)
			continue
		}
		open = append(open, d)
	}
	w.departures = open
	return w, settled
}

func (w Watch) departed(name string) (departure, bool) {
	for _, d := range w.departures {
		if d.endpoint == name {
			return d, true
		}
	}
	return departure{}, false
}

// kept reports whether a registered replica has come as far as a position.
func kept(mark endpoint.Position, sights []Sight) bool {
	for _, s := range sights {
		if !s.Departed && s.Standing != nil && s.Standing.Role == endpoint.Replica && s.Standing.Log.Covers(mark) {
			return true
		}
	}
	return false
}
