package pool

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// Ownership tells which endpoints this instance owns by its own view.
type Ownership interface {
	// Owns reports whether this instance is the owner of the endpoint.
	Owns(e config.Endpoint) bool
	// MayOwn reports whether this instance accepts work for the endpoint while views differ.
	MayOwn(e config.Endpoint) bool
	// Concerns reports whether a change of the instances in a region can move an endpoint with a failure domain.
	Concerns(region, domain string) bool
}

// Owner holds the pools of the endpoints that this instance owns.
type Owner struct {
	ctx       context.Context
	domain    string
	interval  time.Duration
	clock     clock.Service
	logger    *event.Logger
	client    *Client
	ownership Ownership
	vendors   map[string]endpoint.Vendor
	secure    func(host string, named bool) *tls.Config

	mu      sync.Mutex
	catalog *config.Catalog
	pools   map[string]*Pool
	leaving bool
	retired sync.WaitGroup
}

// OwnerOptions are what an owner needs to know and to use.
type OwnerOptions struct {
	Domain    string
	Interval  time.Duration
	Clock     clock.Service
	Logger    *event.Logger
	Client    *Client
	Ownership Ownership
	Vendors   []endpoint.Vendor
	// Secure returns the TLS configuration towards an endpoint, nil when there is none.
	TLSConfig func(host string, named bool) *tls.Config
}

// NewOwner returns an owner without pools; its pools end with ctx.
func NewOwner(ctx context.Context, o OwnerOptions) *Owner {
	vendors := make(map[string]endpoint.Vendor, len(o.Vendors))
	for _, v := range o.Vendors {
		vendors[v.Name()] = v
	}
	return &Owner{
		ctx:       ctx,
		domain:    o.Domain,
		interval:  o.Interval,
		clock:     o.Clock,
		logger:    o.Logger,
		client:    o.Client,
		ownership: o.Ownership,
		vendors:   vendors,
		secure:    o.TLSConfig,
		catalog:   config.NewCatalog(config.Set{}),
		pools:     make(map[string]*Pool),
	}
}

// Configure takes over a catalog: pools of changed endpoints are told, pools of removed endpoints end.
func (o *Owner) Configure(catalog *config.Catalog) {
	o.mu.Lock()
	o.catalog = catalog
	o.mu.Unlock()
	o.Reconcile("")
}

// Place starts the pools that this instance owns by now and retires those that it does not, after the instances in a
// region have changed, with "" for all regions.
func (o *Owner) Reconcile(region string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.catalog.Set.Endpoints {
		if !o.leaving && o.ownership.Concerns(region, e.Domain) && o.ownership.Owns(e) {
			_, _ = o.ensure(e)
		}
	}
	for name, p := range o.pools {
		e, declared := o.catalog.Endpoint(name)
		if declared && !o.leaving && o.ownership.Owns(e) {
			p.Configure(o.options(e))
			continue
		}
		o.retire(name, p)
	}
}

func (o *Owner) retire(name string, p *Pool) {
	delete(o.pools, name)
	p.Close()
	o.retired.Go(func() { <-p.Done() })
}

// Leave retires every pool and refuses new ones; it returns when nothing is in flight or ctx ends.
func (o *Owner) Leave(ctx context.Context) error {
	o.mu.Lock()
	o.leaving = true
	o.mu.Unlock()
	o.Reconcile("")
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.retired.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Owner) ensure(e config.Endpoint) (*Pool, error) {
	if p, ok := o.pools[e.Name]; ok {
		return p, nil
	}
	p, err := New(o.ctx, o.options(e))
	if err != nil {
		return nil, err
	}
	o.pools[e.Name] = p
	return p, nil
}

func (o *Owner) options(e config.Endpoint) Options {
	database, _ := o.catalog.Database(e.Database)
	bounds, _ := o.catalog.Limit(e.Limit)
	return Options{
		Endpoint:  e,
		Database:  database,
		Limit:     bounds,
		Members:   o.catalog.Members(e.Database),
		Vendor:    o.vendors[database.Vendor],
		Domain:    o.domain,
		Interval:  o.interval,
		Clock:     o.clock,
		Logger:    o.logger,
		TLSConfig: o.secure,
		Owners:    o.client,
	}
}

// find returns the pool of an endpoint that this instance owns, starting it if need be.
func (o *Owner) find(name string) (*Pool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[name]; ok {
		return p, nil
	}
	e, ok := o.catalog.Endpoint(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unconfigured, "endpoint %s is not declared here", name).WithAfter(unusableAfter)
	}
	if o.leaving || !o.ownership.MayOwn(e) {
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "endpoint %s is owned by another instance", name).WithAfter(unusableAfter)
	}
	return o.ensure(e)
}

func (o *Owner) class(route string) limit.Class {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.catalog.Route(route)
	bounds, _ := o.catalog.Limit(r.Limit)
	return limit.Class{Name: route, Weight: bounds.Weight, Queue: bounds.Queue}
}

// Serve serves a transaction, a question, a command or a cancel request, and reports whether the exchange ended with its
// last frame sent; it serves no frames of other kinds.
func (o *Owner) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	switch {
	case first.GetOpen() != nil:
		return o.serveOpen(ctx, first.GetOpen(), stream)
	case first.GetAsk() != nil:
		return stream.Send(answerFrame(o.ask(ctx, first.GetAsk()))) == nil
	case first.GetCommand() != nil:
		return stream.Send(answerFrame(o.command(ctx, first.GetCommand()))) == nil
	case first.GetCancel() != nil:
		o.cancel(ctx, first.GetCancel())
		return stream.Send(answerFrame(&wire.Answer{}, nil)) == nil
	default:
		return false
	}
}

func (o *Owner) cancel(ctx context.Context, c *wire.Cancel) {
	o.mu.Lock()
	p := o.pools[c.GetEndpoint()]
	o.mu.Unlock()
	if p != nil {
		p.Cancel(ctx, c.GetId())
	}
}

func (o *Owner) serveOpen(ctx context.Context, open *wire.Open, stream peer.Stream) bool {
	p, err := o.find(open.GetEndpoint())
	if err != nil {
		response := &wire.Response{Last: true, Failure: peer.ToFailure(err)}
		return stream.Send(&wire.Frame{Body: &wire.Frame_Response{Response: response}}) == nil
	}
	return p.Serve(ctx, open, o.class(open.GetRoute()), stream)
}

func answerFrame(answer *wire.Answer, err error) *wire.Frame {
	if err != nil {
		answer = &wire.Answer{Failure: peer.ToFailure(err)}
	}
	return &wire.Frame{Body: &wire.Frame_Answer{Answer: answer}}
}

func (o *Owner) ask(ctx context.Context, q *wire.Ask) (*wire.Answer, error) {
	p, err := o.find(q.GetEndpoint())
	if err != nil {
		return nil, err
	}
	switch {
	case q.GetReach() != nil:
		ctx, cancel := context.WithTimeout(ctx, peer.Duration(q.GetPatience()))
		defer cancel()
		_, _ = p.reach(ctx, peer.FromPosition(q.GetReach()))
	case q.GetFresh():
		_, _ = p.ask(ctx)
	}
	return p.report(), nil
}

// report is the answer to a question, from what the pool knows by now.
func (p *Pool) report() *wire.Answer {
	k := p.known()
	answer := &wire.Answer{Status: peer.ToStatus(k.status), Age: peer.Micros(k.age), Silent: peer.Micros(k.silence)}
	p.mu.Lock()
	certificate, ok := p.history.Newest()
	p.mu.Unlock()
	if ok && k.status.Leads() {
		answer.Sample = &wire.Sample{Position: peer.ToPosition(certificate.Position), Age: peer.Micros(p.now().Sub(certificate.At))}
	}
	return answer
}

func (o *Owner) command(ctx context.Context, c *wire.Command) (*wire.Answer, error) {
	p, err := o.find(c.GetEndpoint())
	if err != nil {
		return nil, err
	}
	if err := p.obey(ctx, Command(c.GetAction()), endpoint.FencedTerm(c.GetTerm()), c.GetLeader()); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.Unreachable, "command failed").WithCause(err)
	}
	return p.report(), nil
}

const commandTimeout = 3 * time.Second

// obey gives the endpoint an order on the reserved connection for commands, and learns the status that follows.
func (p *Pool) obey(ctx context.Context, order Command, term endpoint.FencedTerm, leader string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	vendor := p.settings().Vendor
	asked := p.now()
	status, err := p.probe.orders.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		switch order {
		case CommandFence:
			return vendor.Fence(ctx, q, term)
		case CommandPromote:
			return vendor.Promote(ctx, q, term)
		case CommandFollow:
			return vendor.Follow(ctx, q, term, leader)
		default:
			return endpoint.Status{}, verdict.New(verdict.NotRun, verdict.Unsupported, "unknown order %d", order)
		}
	})
	if err == nil {
		p.learn(status, nil, asked)
	}
	return err
}
