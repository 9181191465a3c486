package succession

import (
	"fmt"

	"siskincove/config"
	"siskincove/database"
)

// probeTargets are the endpoints to probe: the registered ones, and departed ones that may hold commits that no
// registered replica has.
type probeTargets struct {
	members    []config.Endpoint
	departures []database.Departure
}

// all returns the registered endpoints, followed by the departed ones, which are marked as leaving.
func (t probeTargets) all() []config.Endpoint {
	out := append([]config.Endpoint{}, t.members...)
	for _, d := range t.departures {
		e := d.Endpoint
		e.Leaving = true
		out = append(out, e)
	}
	return out
}

// restarted reports whether the i-th endpoint of all is a former incarnation of a registered endpoint.
func (t probeTargets) restarted(i int) bool {
	return i >= len(t.members) && t.registered(t.departures[i-len(t.members)].Endpoint.Name)
}

func (t probeTargets) registered(name string) bool {
	for _, e := range t.members {
		if e.Name == name {
			return true
		}
	}
	return false
}

// label returns a name for a departed endpoint that differs from that of a registered incarnation.
func (t probeTargets) label(e config.Endpoint) string {
	if t.registered(e.Name) {
		return fmt.Sprintf("%s/%d", e.Name, e.Incarnation)
	}
	return e.Name
}

// counted returns the endpoints that a succession has to count: the registered ones and the departed ones that still
// answer. The results are in the order of all.
func (t probeTargets) counted(results []ProbeResult) []config.Endpoint {
	all := t.all()
	out := append([]config.Endpoint{}, t.members...)
	for i := len(t.members); i < len(all); i++ {
		if results[i].Status != nil {
			out = append(out, all[i])
		}
	}
	return out
}
