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
	databaseName = "db"
	// RouteDeadline is the deadline of every modelled route, as in the users' deployments.
	RouteDeadline = time.Second
	// readAllowance is the allowed staleness of reads that need not see every commit.
	readAllowance = 1500 * time.Millisecond
	// drainPeriod is longer than any scenario; no modelled endpoint leaves.
	drainPeriod = time.Hour
)

// newCatalog returns a configuration for the group with a route and a limit for each class.
func newCatalog(g *Group, connections int, classes []Class) *config.Catalog {
	set := config.Set{Databases: []config.Database{{Name: databaseName, Connections: connections}}}
	for n, e := range g.Endpoints {
		set.Endpoints = append(set.Endpoints, config.Endpoint{Name: e.Name, Database: databaseName, Address: e.Name, Domain: fmt.Sprintf("r/%d", n)})
	}
	for n, c := range classes {
		limit := fmt.Sprintf("l%d", n)
		set.Limits = append(set.Limits, config.Limit{Name: limit, Deadline: document.Duration(RouteDeadline), TargetLatency: document.Duration(c.Target), Priority: n + 1})
		route := config.Route{Name: c.Route, Database: databaseName, Limit: limit, Reads: config.ReadsReplica}
		if c.Route == "main" {
			route.Reads = config.ReadsPrimary
		} else {
			set.Allowances = append(set.Allowances, config.Allowance{Name: c.Route, Age: document.Duration(readAllowance)})
			route.Allowance = c.Route
		}
		set.Routes = append(set.Routes, route)
	}
	return config.NewCatalog(set)
}

// Proxy is the policy that runs the proxy's own code, with a dispatcher and connection pools for each instance.
type Proxy struct {
	dispatchers  []*dispatch.Dispatcher
	registries   []*database.Registry
	exchangeDone chan struct{}
}

// fixedCatalog always returns the same catalog.
type fixedCatalog struct{ catalog *config.Catalog }

// Catalog returns the catalog.
func (f fixedCatalog) Catalog() *config.Catalog { return f.catalog }

// NewProxy starts the policy for a number of instances; it stops when ctx ends.
func NewProxy(ctx context.Context, g *Group, instances, connections int, catalog *config.Catalog) *Proxy {
	p := &Proxy{}
	for n := range instances {
		registry := database.NewRegistry(database.Options{
			Dialer: Dialer{Group: g}, Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return drainPeriod },
		})
		registry.Configure(catalog, map[string]string{databaseName: g.Primary().Name}, instances)
		p.registries = append(p.registries, registry)
		p.dispatchers = append(p.dispatchers, dispatch.New(ctx, dispatch.Options{
			Domain: fmt.Sprintf("r/%d", n%len(g.Endpoints)), Catalogs: fixedCatalog{catalog}, Databases: registry, Clock: clock.System{}, Logger: event.Discard(),
		}))
	}
	p.exchangeDone = make(chan struct{})
	go p.exchangeCertificates(ctx)
	return p
}

// heartbeatInterval is the interval at which instances exchange freshness certificates.
const heartbeatInterval = 700 * time.Millisecond

// exchangeCertificates gives every instance the newest freshness certificate of all instances, as heartbeats do.
func (p *Proxy) exchangeCertificates(ctx context.Context) {
	defer close(p.exchangeDone)
	for clock.Wait(ctx, clock.System{}, heartbeatInterval) == nil {
		var newest session.FreshnessCertificate
		var primary string
		for _, r := range p.registries {
			db, _ := r.Get(databaseName)
			if certificate, ok := db.View().Certificate(); ok && certificate.At.After(newest.At) {
				lead, _ := db.View().Lead()
				newest, primary = certificate, lead.Endpoint
			}
		}
		for _, r := range p.registries {
			if db, _ := r.Get(databaseName); primary != "" {
				db.RecordPeerLead(primary, newest)
			}
		}
	}
}

// Wait returns once all dispatchers and the exchange of certificates have stopped.
func (p *Proxy) Wait() {
	for _, d := range p.dispatchers {
		<-d.Done()
	}
	if p.exchangeDone != nil {
		<-p.exchangeDone
	}
}

// SetPrimary tells every instance about a new primary, as heartbeats do.
func (p *Proxy) SetPrimary(primary string) {
	for _, r := range p.registries {
		if db, ok := r.Get(databaseName); ok {
			db.RecordLead(primary, endpoint.Position{}, time.Now())
		}
	}
}

// Serve runs a request in a new session.
func (p *Proxy) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	s, refused := p.dispatchers[instance].Open(ctx, statement.StartupParameters{Database: r.Class.Route})
	if refused != nil {
		return false, refused.RetryAfter
	}
	defer s.Close()
	a := s.Run(ctx, newStatement(r))
	if a.Failure != nil {
		return false, a.Failure.RetryAfter
	}
	return true, 0
}

func newStatement(r Request) statement.Request {
	out := statement.Request{ID: r.ID, Kind: statement.Read, Text: fmt.Sprint(r.Class.MeanWorkMS)}
	if r.Writes {
		out.Kind, out.Writes = statement.Write, true
	}
	return out
}

// Naive is the baseline policy. Reads go to a random replica and writes to the primary, each request waits for one of a
// fixed number of connections, and failures are retried at once until the timeout.
type Naive struct {
	group   *Group
	timeout time.Duration
	mu      sync.Mutex
	random  *rand.Rand
	primary string
	// idle holds the connections that are not in use, by instance and endpoint; nil stands for one that has to be opened.
	idle map[string]chan connection.Conn
}

// NewNaive returns the baseline policy; connections is the number of connections from each instance to each endpoint.
func NewNaive(g *Group, instances, connections int, timeout time.Duration) *Naive {
	n := &Naive{group: g, timeout: timeout, random: rand.New(rand.NewPCG(3, 4)), primary: g.Primary().Name, idle: make(map[string]chan connection.Conn)}
	for i := range instances {
		for _, e := range g.Endpoints {
			idle := make(chan connection.Conn, connections)
			for range connections {
				idle <- nil
			}
			n.idle[poolKey(i, e.Name)] = idle
		}
	}
	return n
}

func poolKey(instance int, endpoint string) string { return fmt.Sprintf("%d %s", instance, endpoint) }

// SetPrimary switches writes to a new primary.
func (n *Naive) SetPrimary(e string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.primary = e
}

func (n *Naive) chooseEndpoint(r Request) string {
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

// Serve retries until the timeout.
func (n *Naive) Serve(ctx context.Context, instance int, r Request) (bool, time.Duration) {
	deadline := time.Now().Add(n.timeout)
	for time.Now().Before(deadline) {
		target := n.chooseEndpoint(r)
		idle := n.idle[poolKey(instance, target)]
		select {
		case pooled := <-idle:
			served, returned := n.attempt(ctx, pooled, target, r, deadline)
			idle <- returned
			if served {
				return true, 0
			}
		case <-time.After(time.Until(deadline)):
			return false, 0
		}
	}
	return false, 0
}

func (n *Naive) attempt(ctx context.Context, pooled connection.Conn, target string, r Request, deadline time.Time) (bool, connection.Conn) {
	if pooled == nil {
		bounded, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		var err error
		if pooled, err = (Dialer{Group: n.group}).Dial(bounded, connection.Target{Endpoint: config.Endpoint{Name: target}}, n.timeout); err != nil {
			return false, nil
		}
	}
	answers, err := pooled.Exchange(ctx, deadline, statement.Step{Request: newStatement(r)})
	if err != nil {
		return false, nil
	}
	return answers[0].Failure == nil, pooled
}
