package hosting

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Position is a place in a group's log.
type Position struct {
	Term   uint64
	Number uint64
}

// Covers reports whether a log that ends here has another position.
func (p Position) Covers(other Position) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Number >= other.Number
}

// String returns TERM.NUMBER.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// Record is a commit of a group's log: the requests whose writes it holds, and the data.
type Record struct {
	Position Position
	Requests []string
	Data     map[string]string
}

// Run is a statement that an endpoint ran, for checks.
type Run struct {
	Request  string
	Endpoint string
	Conn     int
	// Inside tells that it ran inside a transaction, and Settings what the connection's settings were.
	InTransaction bool
	Settings      string
	Text          string
	Log           Position
	Started       time.Time
}

// Options are how a group is made.
type Options struct {
	Name string
	// Zones are the failure domains of its endpoints, one each.
	Zones []string
	// Sync is how many replicas receive a commit before it is acknowledged.
	SyncReplicas int
	Slots        int
	Connections  int
	// Work is how long a read, write or commit holds a slot.
	Work time.Duration
	// Lag is how much later than it received it a replica can read a commit.
	ApplyLag time.Duration
	// Promote is how long a promotion takes.
	PromotionDelay time.Duration
}

// Group is a database group whose endpoints speak the line protocol on loopback.
type Group struct {
	options Options
	store   *Store

	mu      sync.Mutex
	changed *sync.Cond
	term    uint64
	members []*Endpoint
	runs    []Run
	// promoted counts the promotions carried out.
	promoted int
	// refused counts the connections that were too many.
	refused int
}

// Refused returns how many connections endpoints refused since they had too many.
func (g *Group) Refused() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refused
}

// NewGroup starts a group whose first endpoint leads, and registers the endpoints in the store.
func NewGroup(store *Store, o Options) (*Group, error) {
	g := &Group{options: o, store: store, term: 1}
	g.changed = sync.NewCond(&g.mu)
	for i, zone := range o.Zones {
		e, err := newEndpoint(g, fmt.Sprintf("i-%s-%d", o.Name, i), zone)
		if err != nil {
			return nil, err
		}
		e.primary = i == 0
		g.members = append(g.members, e)
	}
	g.Register()
	return g, nil
}

// Register writes the entries of the living endpoints into the store and removes the others'.
func (g *Group) Register() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.members {
		e.register()
	}
}

// Close ends all endpoints.
func (g *Group) Close() {
	for _, e := range g.Members() {
		e.Crash()
	}
}

// Members returns the endpoints.
func (g *Group) Members() []*Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members)
}

// Primary returns the endpoint that leads, nil when none does.
func (g *Group) Primary() *Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

func (g *Group) primary() *Endpoint {
	for _, e := range g.members {
		if e.primary && e.term == g.term {
			return e
		}
	}
	return nil
}

// Promotions returns how many promotions were carried out.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promoted
}

// Runs returns every statement that an endpoint ran, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// Log returns the log of the primary of the newest term, also of one that crashed.
func (g *Group) Log() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.members {
		if e.primary && e.term == g.term {
			return slices.Clone(e.log)
		}
	}
	return nil
}

// promote makes a running endpoint lead the next term with what it has received; it reports false when it does not run.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := slices.IndexFunc(g.members, func(e *Endpoint) bool { return e.id == id })
	if at < 0 || !g.members[at].alive {
		return false
	}
	target := g.members[at]
	if g.primary() == target {
		return true
	}
	time.AfterFunc(g.options.PromotionDelay, func() { g.lead(target) })
	return true
}

func (g *Group) lead(target *Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.alive {
		return
	}
	g.term++
	g.promoted++
	for _, e := range g.members {
		e.primary = false
	}
	target.primary, target.term, target.held = true, g.term, 0
	g.replicate()
	for _, e := range g.members {
		e.register()
	}
	g.changed.Broadcast()
}

// replicate lets every replica that receives take the primary's log, rolling back what that lacks.
func (g *Group) replicate() {
	p := g.primary()
	if p == nil || !p.alive || p.isolated {
		return
	}
	for _, e := range g.members {
		if e == p || !e.alive || e.deaf || e.held != 0 {
			continue
		}
		e.term = g.term
		e.receive(p.log, g.options.ApplyLag)
	}
	g.changed.Broadcast()
}

// received counts the endpoints but the one that wrote it whose log has a position.
func (g *Group) received(p Position, writer *Endpoint) int {
	n := 0
	for _, e := range g.members {
		if e != writer && e.has(p) {
			n++
		}
	}
	return n
}
