package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/dispatch"
	"siskincove/document"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/session"
	"siskincove/statement"
)

const (
	name = "db"
	// Timeout is a route's, as the users' deployments give it.
	RouteDeadline = time.Second
	// allowance is the age that reads accept which need not see everything.
	allowance = 1500 * time.Millisecond
	// drain is beyond any modelled day: no endpoint of it leaves.
	drain = time.Hour
)

// catalogOf returns the configuration of a group with routes for its classes.
func catalogOf(g *Group, connections int, classes []Class) *config.Catalog {
	set := config.Set{Databases: []config.Database{{Name: name, Connections: connections}}}
	for n, e := range g.Endpoints {
		set.Endpoints = append(set.Endpoints, config.Endpoint{Name: e.Name, Database: name, Address: e.Name, Domain: fmt.Sprintf("r/%d", n)})
	}
	for n, c := range classes {
		limit := fmt.Sprintf("l%d", n)
		set.Limits = append(set.Limits, config.Limit{Name: limit, Deadline: document.Duration(RouteDeadline), TargetLatency: document.Duration(c.Target), Priority: n + 1})
		route := config.Route{Name: c.Route, Database: name, Limit: limit, Reads: config.ReadsReplica}
		if c.Route == "main" {
			route.Reads = config.ReadsPrimary
		} else {
			set.Allowances = append(set.Allowances, config.Allowance{Name: c.Route, Age: document.Duration(allowance)})
			route.Allowance = c.Route
		}
		set.Routes = append(set.Routes, route)
	}
	return config.NewCatalog(set)
}

// Current serves by the product's own deciding code: a dispatcher and pools for each instance.
type Proxy struct {
	dispatchers []*dispatch.Dispatcher
	registries  []*database.Registry
	gossip      chan struct{}
}

// fixed is a catalog that stays.
type fixed struct{ catalog *config.Catalog }

// Catalog returns it.
func (f fixed) Catalog() *config.Catalog { return f.catalog }

// NewCurrent returns the policy for a number of instances; it ends with ctx.
func NewProxy(ctx context.Context, g *Group, instances, connections int, catalog *config.Catalog) *Proxy {
	c := &Proxy{}
	for n := range instances {
		registry := database.NewRegistry(database.Options{
			Dialer: Dialer{Group: g}, Clock: clock.System{}, Logger: event.Discard(), Drain: func() time.Duration { return drain },
		})
		registry.Configure(catalog, map[string]string{name: g.Primary().Name}, instances)
		c.registries = append(c.registries, registry)
		c.dispatchers = append(c.dispatchers, dispatch.New(ctx, dispatch.Options{
			Domain: fmt.Sprintf("r/%d", n%len(g.Endpoints)), Catalogs: fixed{catalog}, Databases: registry, Clock: clock.System{}, Logger: event.Discard(),
		}))
	}
	c.gossip = make(chan struct{})
	go c.relay(ctx)
	return c
}

// heartbeat is the time between two rounds in which instances tell each other what they know of the lead.
const heartbeat = 700 * time.Millisecond

// relay lets every instance hear the newest proof of the lead, as heartbeats do.
func (c *Proxy) relay(ctx context.Context) {
	defer close(c.gossip)
	for clock.Wait(ctx, clock.System{}, heartbeat) == nil {
		var newest session.FreshnessCertificate
		var leader string
		for _, r := range c.registries {
			db, _ := r.Get(name)
			if k, ok := db.View().Certificate(); ok && k.At.After(newest.At) {
				lead, _ := db.View().Lead()
				newest, leader = k, lead.Endpoint
			}
		}
		for _, r := range c.registries {
			if db, _ := r.Get(name); leader != "" {
				db.RecordPeerLead(leader, newest)
			}
		}
	}
}

// Wait returns once all dispatchers have ended.
func (c *Proxy) Wait() {
	for _, d := range c.dispatchers {
		<-d.Done()
	}
	if c.gossip != nil {
		<-c.gossip
	}
}

// Led tells every instance of a new primary, as heartbeats do.
func (c *Proxy) SetPrimary(e string) {
	for _, r := range c.registries {
		if db, ok := r.Get(name); ok {
			db.RecordLead(e, endpoint.Position{}, time.Now())
		}
	}
}

// Serve runs a request in a session of its own.
func (c *Proxy) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	s, refused := c.dispatchers[instance].Open(ctx, r.Class.Route)
	if refused != nil {
		return false, refused.After
	}
	defer s.Close()
	a := s.Run(ctx, request(r))
	if a.Failure != nil {
		return false, a.Failure.After
	}
	return true, 0
}

func request(r Request) statement.Request {
	out := statement.Request{ID: r.ID, Kind: statement.Read, Text: fmt.Sprint(r.Class.MeanWorkMS)}
	if r.Writes {
		out.Kind, out.Writes = statement.Write, true
	}
	return out
}

// Naive is the baseline: reads go to a replica by turns and writes to the primary, each waits for one of a fixed number of
// connections, and what is refused is tried again at once until the time is up.
type Naive struct {
	group   *Group
	timeout time.Duration
	mu      sync.Mutex
	random  *rand.Rand
	primary string
	free    map[string]chan connection.Conn
}

// NewNaive returns the baseline with a number of connections of each instance to each endpoint.
func NewNaive(g *Group, instances, connections int, timeout time.Duration) *Naive {
	n := &Naive{group: g, timeout: timeout, random: rand.New(rand.NewPCG(3, 4)), primary: g.Primary().Name, free: make(map[string]chan connection.Conn)}
	for i := range instances {
		for _, e := range g.Endpoints {
			free := make(chan connection.Conn, connections)
			for range connections {
				free <- nil
			}
			n.free[place(i, e.Name)] = free
		}
	}
	return n
}

func place(instance int, endpoint string) string { return fmt.Sprintf("%d %s", instance, endpoint) }

// Led tells of a new primary.
func (n *Naive) SetPrimary(e string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.primary = e
}

func (n *Naive) choose(r Request) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r.Writes || r.Class.Route == "main" {
		return n.primary
	}
	for {
		if e := n.group.Endpoints[n.random.IntN(len(n.group.Endpoints))]; e.Name != n.primary {
			return e.Name
		}
	}
}

// Serve tries until the route's time is up.
func (n *Naive) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	deadline := time.Now().Add(n.timeout)
	for time.Now().Before(deadline) {
		target := n.choose(r)
		free := n.free[place(instance, target)]
		select {
		case held := <-free:
			served, next := n.try(ctx, held, target, r, deadline)
			free <- next
			if served {
				return true, 0
			}
		case <-time.After(time.Until(deadline)):
			return false, 0
		}
	}
	return false, 0
}

func (n *Naive) try(ctx context.Context, held connection.Conn, target string, r Request, deadline time.Time) (bool, connection.Conn) {
	if held == nil {
		bounded, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		var err error
		if held, err = (Dialer{Group: n.group}).Dial(bounded, config.Endpoint{Name: target}); err != nil {
			return false, nil
		}
	}
	answers, err := held.Exchange(ctx, deadline, statement.Step{Request: request(r)})
	if err != nil {
		return false, nil
	}
	return answers[0].Failure == nil, held
}
