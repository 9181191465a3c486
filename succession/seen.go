package succession

import (
	"fmt"

	"siskincove/config"
	"siskincove/database"
)

// seen is the endpoints that a look asks: those that are registered and those that left and may still hold commits.
type seen struct {
	members    []config.Endpoint
	departures []database.Departure
}

// all returns the registered endpoints and after them those that left, which count as leaving.
func (g seen) all() []config.Endpoint {
	out := append([]config.Endpoint{}, g.members...)
	for _, d := range g.departures {
		e := d.Endpoint
		e.Leaving = true
		out = append(out, e)
	}
	return out
}

// restarted reports whether the i-th of all is a former incarnation of an endpoint that is registered.
func (g seen) restarted(i int) bool {
	return i >= len(g.members) && g.registered(g.departures[i-len(g.members)].Endpoint.Name)
}

func (g seen) registered(name string) bool {
	for _, e := range g.members {
		if e.Name == name {
			return true
		}
	}
	return false
}

// label names an endpoint that left; a former incarnation differs by it from the one that is registered.
func (g seen) label(e config.Endpoint) string {
	if g.registered(e.Name) {
		return fmt.Sprintf("%s/%d", e.Name, e.Incarnation)
	}
	return e.Name
}

// alive returns the registered endpoints and those that left but still answer, given their sights in the order of all.
func (g seen) alive(sights []ProbeResult) []config.Endpoint {
	all := g.all()
	out := append([]config.Endpoint{}, g.members...)
	for i := len(g.members); i < len(all); i++ {
		if sights[i].Standing != nil {
			out = append(out, all[i])
		}
	}
	return out
}
