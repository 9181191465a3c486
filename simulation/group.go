package simulation

import (
	"sync"
	"time"

	"siskincove/endpoint"
)

// Group is a modelled database group.
type Group struct {
	Endpoints []*Endpoint
	// Lag is how much later than the primary a replica can read a commit.
	Lag time.Duration

	mu      sync.Mutex
	primary int
	// commits are the times of the log's records.
	commits []time.Time
}

// Primary returns the endpoint that leads.
func (g *Group) Primary() *Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Endpoints[g.primary]
}

// Promote lets another endpoint lead.
func (g *Group) Promote(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.primary = n
}

func (g *Group) commit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.commits = append(g.commits, time.Now())
}

// applied returns up to where an endpoint can be read.
func (g *Group) applied(e *Endpoint) endpoint.Position {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.commits)
	if g.Endpoints[g.primary] != e {
		for n > 0 && time.Since(g.commits[n-1]) < g.Lag {
			n--
		}
	}
	return endpoint.Position{Term: 1, Offset: uint64(n)}
}
