package simulation

import (
	"sync"
	"time"

	"siskincove/endpoint"
)

// Group is a modelled database group.
type Group struct {
	Endpoints []*Endpoint
	// Lag is the delay after which replicas show a commit of the primary.
	Lag time.Duration

	mu      sync.Mutex
	primary int
	// commitTimes are the times of the commits in log order.
	commitTimes []time.Time
}

// Primary returns the current primary.
func (g *Group) Primary() *Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Endpoints[g.primary]
}

// Promote makes the endpoint with index n the primary.
func (g *Group) Promote(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primary = n
}

func (g *Group) commit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commitTimes = append(g.commitTimes, time.Now())
}

// applied returns the log position up to which an endpoint has applied commits.
func (g *Group) applied(e *Endpoint) endpoint.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.commitTimes)
	if g.Endpoints[g.primary] != e {
		for n > 0 && time.Since(g.commitTimes[n-1]) < g.Lag {
			n--
		}
	}
	return endpoint.Position{Term: 1, Offset: uint64(n)}
}
