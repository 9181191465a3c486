package hosting

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Position is a position in a group's log.
type Position struct {
	Term   uint64
	Number uint64
}

// Covers reports whether a log that ends at p contains the other position.
func (p Position) Covers(other Position) bool {
	return p.Term > other.Term || p.Term == other.Term && p.Number >= other.Number
}

// String returns the position as TERM.NUMBER.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Term, p.Number) }

// Record is a commit in a group's log: the ids of the requests that wrote it, and the values by item.
type Record struct {
	Position Position
	Requests []string
	Data     map[string]string
}

// Run records one execution of a statement by an endpoint, for checks after a test.
type Run struct {
	Request  string
	Endpoint string
	Conn     int
	// User is who connected: the name of a workspace, or of the proxy.
	User string
	// InTransaction tells whether it ran inside a transaction, Settings what the session's settings were, and Log up to
	// which position it could read.
	InTransaction bool
	Settings      string
	Text          string
	Log           Position
	Started       time.Time
}

// Options configure a group.
type Options struct {
	Name string
	// Zones are the failure domains of the endpoints, one endpoint for each.
	Zones []string
	// SyncReplicas is how many replicas must receive a commit before it is acknowledged.
	SyncReplicas int
	// Slots is how many statements an endpoint runs at once, Connections how many connections it accepts.
	Slots       int
	Connections int
	// Work is how long a read, write or commit occupies a slot.
	Work time.Duration
	// ApplyLag is the time from receiving a commit on a replica until it is readable there.
	ApplyLag time.Duration
	// PromotionDelay is how long a promotion takes.
	PromotionDelay time.Duration
}

// Group is a database group whose endpoints serve the line protocol on loopback.
type Group struct {
	options Options
	store   *Store

	mu      sync.Mutex
	changed *sync.Cond
	term    uint64
	members []*Endpoint
	runs    []Run
	// orderDelay is the one-way delay of STATUS, HOLD, DEMOTE and RESUME, as for a coordinator that is far from the endpoints.
	orderDelay time.Duration
	// acknowledged is the position of the last acknowledged commit.
	acknowledged Position
	// joined counts the endpoints that joined after the start.
	joined int
	// promotions counts completed promotions.
	promotions int
	// refusedConns counts the connections refused over the limit of Connections.
	refusedConns int
}

// Refused returns how many connections were refused because an endpoint had reached its connection limit.
func (g *Group) Refused() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refusedConns
}

// NewGroup starts a group whose first endpoint is primary, and registers the endpoints in the store.
func NewGroup(store *Store, o Options) (*Group, error) {
	g := &Group{options: o, store: store, term: firstTerm}
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

// Register writes the rows of the running endpoints to the store and deletes those of the others.
func (g *Group) Register() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.members {
		e.register()
	}
}

// Depart stops a replica for good and removes its registration. It returns false, and does nothing, if the endpoint leads, or if no other
// member has the last acknowledged commit, which nobody could bring back.
func (g *Group) Depart(e *Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary() == e || g.holdsLastCopy(e) {
		return false
	}
	e.stop()
	e.departed = true
	e.register()
	g.members = slices.DeleteFunc(slices.Clone(g.members), func(member *Endpoint) bool { return member == e })
	return true
}

// Join starts and registers a replica with an id that was not used before. It receives the primary's log as soon as it can.
func (g *Group) Join(zone string) (*Endpoint, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joined++
	e, err := newEndpoint(g, fmt.Sprintf("i-%s-%d", g.options.Name, len(g.options.Zones)+g.joined), zone)
	if err != nil {
		return nil, err
	}
	g.members = append(slices.Clone(g.members), e)
	g.replicate()
	e.register()
	return e, nil
}

// Close stops all endpoints.
func (g *Group) Close() {
	for _, e := range g.Members() {
		e.Crash()
	}
}

// Members returns the endpoints in the order of Options.Zones.
func (g *Group) Members() []*Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.members)
}

// Primary returns the primary of the newest term, running or not, and nil if there is none.
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

// SetPromotionDelay changes how long promotions take that are requested from now on.
func (g *Group) SetPromotionDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.PromotionDelay = delay
}

// SetOrderDelay delays STATUS, HOLD, DEMOTE and RESUME, and their answers, by the given time each.
func (g *Group) SetOrderDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orderDelay = delay
}

func (g *Group) delayOrder() {
	g.mu.Lock()
	delay := g.orderDelay
	g.mu.Unlock()
	time.Sleep(delay)
}

// Promotions returns how many promotions were completed.
func (g *Group) Promotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promotions
}

// Runs returns every execution of a statement, in order.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.runs)
}

// Log returns the log of the primary of the newest term, even if that endpoint has crashed.
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

// promote starts the promotion of an endpoint, which completes after PromotionDelay; the endpoint keeps the log that it
// has at that time. It does nothing on the primary, and returns false if the endpoint is unknown or not running.
func (g *Group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	index := slices.IndexFunc(g.members, func(e *Endpoint) bool { return e.id == id })
	if index < 0 || !g.members[index].alive {
		return false
	}
	target := g.members[index]
	if g.primary() == target {
		return true
	}
	time.AfterFunc(g.options.PromotionDelay, func() { g.completePromotion(target) })
	return true
}

// completePromotion makes the target primary of a new term and registers all endpoints; it does nothing if the target
// has crashed since.
func (g *Group) completePromotion(target *Endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !target.alive {
		return
	}
	g.term++
	g.promotions++
	for _, e := range g.members {
		e.primary = false
	}
	target.primary, target.term, target.heldTerm = true, g.term, 0
	g.replicate()
	for _, e := range g.members {
		e.register()
	}
	g.changed.Broadcast()
}

// replicate copies the primary's log to every replica that can receive, which rolls back records that the primary
// lacks.
func (g *Group) replicate() {
	p := g.primary()
	if p == nil || !p.alive || p.sendBlocked {
		return
	}
	for _, e := range g.members {
		if e == p || !e.alive || e.receiveBlocked || e.heldTerm != 0 {
			continue
		}
		e.term = g.term
		e.replaceLog(p.log, g.options.ApplyLag)
	}
	g.changed.Broadcast()
}

// countReceived counts the endpoints other than the writer whose log contains the position.
func (g *Group) countReceived(p Position, writer *Endpoint) int {
	n := 0
	for _, e := range g.members {
		if e != writer && e.hasRecord(p) {
			n++
		}
	}
	return n
}

// holdsLastCopy reports whether an endpoint has the last acknowledged commit and no other member does.
func (g *Group) holdsLastCopy(e *Endpoint) bool {
	return e.hasRecord(g.acknowledged) && g.countReceived(g.acknowledged, e) == 0
}
