package pool

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// Ownership tells which endpoints this instance owns according to its view of the other instances.
type Ownership interface {
	// Owns reports whether this instance is the owner of the endpoint.
	Owns(e config.Endpoint) bool
	// MayOwn reports whether this instance accepts requests for the endpoint while the instances' views differ.
	MayOwn(e config.Endpoint) bool
	// AffectsDomain reports whether a change of the instances in a region can move an endpoint of a failure domain.
	AffectsDomain(region, domain string) bool
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
	tlsConfig func(host string, named bool) *tls.Config

	mu       sync.Mutex
	catalog  *config.Catalog
	pools    map[string]*Pool
	draining bool
	// closing counts the pools that were closed but have not ended yet.
	closing sync.WaitGroup
}

// OwnerOptions configures an Owner.
type OwnerOptions struct {
	Domain    string
	Interval  time.Duration
	Clock     clock.Service
	Logger    *event.Logger
	Client    *Client
	Ownership Ownership
	Vendors   []endpoint.Vendor
	// TLSConfig returns the TLS configuration for connections to a host, as in Options. It is nil if there is none.
	TLSConfig func(host string, named bool) *tls.Config
}

// NewOwner returns an owner without pools. Its pools end with ctx.
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
		tlsConfig: o.TLSConfig,
		catalog:   config.NewCatalog(config.Set{}),
		pools:     make(map[string]*Pool),
	}
}

// Configure applies a catalog: it reconfigures the pools of declared endpoints and closes those of removed ones.
func (o *Owner) Configure(catalog *config.Catalog) {
	o.mu.Lock()
	o.catalog = catalog
	o.mu.Unlock()
	o.Reconcile("")
}

// Reconcile starts pools for endpoints that this instance now owns and closes those of endpoints it no longer owns. It
// must be called after the instances in a region have changed; "" means all regions.
func (o *Owner) Reconcile(region string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range o.catalog.Set.Endpoints {
		if !o.draining && o.ownership.AffectsDomain(region, e.Domain) && o.ownership.Owns(e) {
			if _, err := o.ensurePool(e); err != nil {
				o.logger.Log(event.PoolNotStarted, log.Fields{"endpoint": e.Name, "address": e.Address, "error": err.Error()})
			}
		}
	}
	for name, p := range o.pools {
		e, declared := o.catalog.Endpoint(name)
		if declared && !o.draining && o.ownership.Owns(e) {
			p.Configure(o.options(e))
			continue
		}
		o.closePool(name, p)
	}
}

// closePool removes a pool and closes it; Drain waits for its end. o.mu must be held.
func (o *Owner) closePool(name string, p *Pool) {
	delete(o.pools, name)
	p.Close()
	o.closing.Go(func() { <-p.Done() })
}

// Drain closes every pool and starts no new ones. It returns when every pool has ended or ctx ends.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	o.Reconcile("")
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.closing.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ensurePool returns the pool of an endpoint, starting it if there is none. o.mu must be held.
func (o *Owner) ensurePool(e config.Endpoint) (*Pool, error) {
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
	limits, _ := o.catalog.Limit(e.Limit)
	return Options{
		Endpoint:  e,
		Database:  database,
		Limit:     limits,
		Members:   o.catalog.Members(e.Database),
		Vendor:    o.vendors[database.Vendor],
		Domain:    o.domain,
		Interval:  o.interval,
		Clock:     o.clock,
		Logger:    o.logger,
		TLSConfig: o.tlsConfig,
		Owners:    o.client,
	}
}

// findPool returns the pool of an endpoint, starting it if this instance may own the endpoint.
func (o *Owner) findPool(name string) (*Pool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p, ok := o.pools[name]; ok {
		return p, nil
	}
	e, ok := o.catalog.Endpoint(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unconfigured, "endpoint %s is not in this instance's configuration", name).WithRetryAfter(unusableRetryAfter)
	}
	if o.draining || !o.ownership.MayOwn(e) {
		return nil, verdict.New(verdict.NotRun, verdict.Leaving, "this instance accepts no requests for endpoint %s", name).WithRetryAfter(unusableRetryAfter)
	}
	return o.ensurePool(e)
}

func (o *Owner) class(route string) limit.Class {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, _ := o.catalog.Route(route)
	limits, _ := o.catalog.Limit(r.Limit)
	return limit.Class{Name: route, Weight: limits.Weight, Queue: limits.Queue}
}

// Serve handles a transaction, status request, command or cancel request, and reports whether its last frame was sent.
// It ignores other frames and returns false for them.
func (o *Owner) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	switch {
	case first.GetOpen() != nil:
		return o.serveOpen(ctx, first.GetOpen(), stream)
	case first.GetAsk() != nil:
		return stream.Send(answerFrame(o.serveStatusRequest(ctx, first.GetAsk()))) == nil
	case first.GetCommand() != nil:
		return stream.Send(answerFrame(o.serveCommand(ctx, first.GetCommand()))) == nil
	case first.GetCancel() != nil:
		o.serveCancel(ctx, first.GetCancel())
		return stream.Send(answerFrame(&wire.Answer{}, nil)) == nil
	default:
		return false
	}
}

func (o *Owner) serveCancel(ctx context.Context, c *wire.Cancel) {
	o.mu.Lock()
	p := o.pools[c.GetEndpoint()]
	o.mu.Unlock()
	if p != nil {
		p.Cancel(ctx, c.GetId())
	}
}

func (o *Owner) serveOpen(ctx context.Context, open *wire.Open, stream peer.Stream) bool {
	p, err := o.findPool(open.GetEndpoint())
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

func (o *Owner) serveStatusRequest(ctx context.Context, request *wire.Ask) (*wire.Answer, error) {
	p, err := o.findPool(request.GetEndpoint())
	if err != nil {
		return nil, err
	}
	switch {
	case request.GetReach() != nil:
		ctx, cancel := context.WithTimeout(ctx, peer.Duration(request.GetPatience()))
		defer cancel()
		_, _ = p.waitForPosition(ctx, peer.FromPosition(request.GetReach()))
	case request.GetFresh():
		_, _ = p.refreshStatus(ctx)
	}
	return p.statusAnswer(), nil
}

// statusAnswer returns the last known status as a response to a status request.
func (p *Pool) statusAnswer() *wire.Answer {
	snapshot := p.snapshot()
	answer := &wire.Answer{Status: peer.ToStatus(snapshot.status), Age: peer.Micros(snapshot.age), Silent: peer.Micros(snapshot.unresponsiveFor)}
	p.mu.Lock()
	certificate, ok := p.history.Newest()
	p.mu.Unlock()
	if ok && snapshot.status.Leads() {
		answer.Sample = &wire.Sample{Position: peer.ToPosition(certificate.Position), Age: peer.Micros(p.now().Sub(certificate.At))}
	}
	return answer
}

func (o *Owner) serveCommand(ctx context.Context, command *wire.Command) (*wire.Answer, error) {
	p, err := o.findPool(command.GetEndpoint())
	if err != nil {
		return nil, err
	}
	if err := p.execute(ctx, Command(command.GetAction()), endpoint.FencedTerm(command.GetTerm()), command.GetLeader()); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.Unreachable, "command to the endpoint failed").WithCause(err)
	}
	return p.statusAnswer(), nil
}

const commandTimeout = 3 * time.Second

// execute runs a command on the reserved command connection and records the resulting status.
func (p *Pool) execute(ctx context.Context, command Command, term endpoint.FencedTerm, leader string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	vendor := p.currentOptions().Vendor
	sentAt := p.now()
	status, err := p.reserved.commands.use(ctx, p.dialer, func(q endpoint.Querier) (endpoint.Status, error) {
		switch command {
		case CommandFence:
			return vendor.Fence(ctx, q, term)
		case CommandPromote:
			return vendor.Promote(ctx, q, term)
		case CommandFollow:
			return vendor.Follow(ctx, q, term, leader)
		default:
			return endpoint.Status{}, verdict.New(verdict.NotRun, verdict.Unsupported, "unknown command %d", command)
		}
	})
	if err == nil {
		p.recordStatus(status, nil, sentAt)
	}
	return err
}
