package database

import (
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/config"
	"siskincove/connection"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
	"siskincove/session"
)

// Database is a database group: what this instance has observed of it, and the connections to its endpoints.
type Database struct {
	name    string
	options Options

	mu      sync.Mutex
	view    group.View
	members []config.Endpoint
	pools   map[string]*connection.Pool
	// held are the pools of this instance's own connections to endpoints whose connections statements borrow by workspace.
	held map[string]*connection.Pool
	// leavingSince is when an endpoint was first known to be leaving.
	leavingSince map[string]time.Time
	// departures lists the endpoints that left and may hold commits that no other replica has.
	departures []Departure
	// concluded lists endpoints whose departures no longer count, the latest last.
	concluded []config.Endpoint
	// changed is closed and replaced when another endpoint leads, when none does any longer, and at the first proof of
	// the lead after a period of more than proofGap without one.
	changed chan struct{}
	// proofFetchUntil is when another read may fetch a proof of the lead; until then one read fetches it for all.
	proofFetchUntil time.Time
	// usedAt is when a statement last needed an endpoint of the group, and neededSince the first such time after the last proof
	// of the lead; they are zero if none has.
	usedAt      time.Time
	neededSince time.Time
	// promoting is shared by the databases of a registry.
	promoting *promotionIndex
}

func newDatabase(name string, o Options) *Database {
	return &Database{
		name: name, options: o, promoting: newPromotionIndex(), pools: make(map[string]*connection.Pool), held: make(map[string]*connection.Pool),
		leavingSince: make(map[string]time.Time),
		changed:      make(chan struct{}),
	}
}

// Name returns the group's name.
func (d *Database) Name() string { return d.name }

// Members returns the group's endpoints.
func (d *Database) Members() []config.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members
}

// View returns what this instance has observed of the group.
func (d *Database) View() group.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// Changed returns a channel that is closed when another endpoint leads, when none does any longer, and at the first proof
// of the lead after a period of more than proofGap without one.
func (d *Database) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Choose returns the endpoints that may serve a statement, best first.
func (d *Database) Choose(q group.Query) []group.Choice {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	d.recordNeed(now)
	inflight := func(name string) int { return d.pools[name].Used() }
	return d.view.Choose(q, d.acceptingMembers(now), inflight, now)
}

// UsedWithin reports whether a statement needed an endpoint of the group within the given time.
func (d *Database) UsedWithin(limit time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.usedAt.IsZero() && d.options.Clock.Now().Sub(d.usedAt) < limit
}

// acceptingMembers returns the endpoints that may get new work.
func (d *Database) acceptingMembers(now time.Time) []config.Endpoint {
	out := make([]config.Endpoint, 0, len(d.members))
	for _, e := range d.members {
		if d.acceptsWork(e.Name, now) {
			out = append(out, e)
		}
	}
	return out
}

// AcceptsWork reports whether an endpoint may get new work.
func (d *Database) AcceptsWork(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.acceptsWork(name, d.options.Clock.Now())
}

// acceptsWork implements AcceptsWork; d.mu must be held.
func (d *Database) acceptsWork(name string, now time.Time) bool {
	since, leaving := d.leavingSince[name]
	return !leaving || now.Sub(since) < d.options.DrainTime()-maxNoticeDelay
}

// Pool returns the connections to an endpoint, and false if it is no longer a member.
func (d *Database) Pool(endpoint string) (*connection.Pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[endpoint]
	return p, ok
}

// Held returns this instance's own connections to an endpoint, and false if it has none.
func (d *Database) Held(endpoint string) (*connection.Pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.held[endpoint]; ok {
		return p, true
	}
	p, ok := d.pools[endpoint]
	return p, ok && !p.Borrows()
}

// update changes the view and notifies waiters as described at Changed. If another endpoint leads, or none does any longer,
// it logs that with the reason why.
func (d *Database) update(why string, change func(v group.View, now time.Time) group.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, _ := d.view.Lead()
	proven := d.view.ProvenAt()
	d.view = change(d.view, d.options.Clock.Now())
	after, _ := d.view.Lead()
	if before.Endpoint != after.Endpoint || d.view.ProvenAt().Sub(proven) > proofGap {
		close(d.changed)
		d.changed = make(chan struct{})
		d.proofFetchUntil = time.Time{}
	}
	if before.Endpoint == after.Endpoint {
		return
	}
	fields := log.Fields{"database": d.name, "before": before.Endpoint, "after": after.Endpoint, "why": why}
	if after.Endpoint != "" {
		fields["age"] = d.options.Clock.Now().Sub(after.At).String()
	}
	d.options.Logger.Log(event.PrimaryChanged, fields)
}

// RecordLead records that an endpoint proved its lead as of a time and reported its log position.
func (d *Database) RecordLead(name string, position endpoint.Position, at time.Time) {
	d.update("proof", func(v group.View, _ time.Time) group.View { return v.WithLead(name, position, at) })
}

// RecordPeerLead records a peer's freshness certificate: an endpoint proved its lead as of a time. Unknown endpoints are
// ignored.
func (d *Database) RecordPeerLead(name string, c session.FreshnessCertificate) {
	if _, known := d.Pool(name); !known {
		return
	}
	d.update("peer", func(v group.View, _ time.Time) group.View { return v.WithLead(name, c.Position, c.At) })
}

// RecordLeadHint records a peer's report that an endpoint led at an approximate time. Unknown endpoints are ignored.
func (d *Database) RecordLeadHint(name string, at time.Time) {
	if _, known := d.Pool(name); !known {
		return
	}
	d.update("hint", func(v group.View, _ time.Time) group.View { return v.WithHint(name, at) })
}

// RecordNotPrimary records that an endpoint refused a statement, sent at the given time, because it does not lead.
func (d *Database) RecordNotPrimary(name string, sent time.Time) {
	d.update("denial", func(v group.View, now time.Time) group.View { return v.WithNotPrimary(name, sent, now) })
}

// RecordServed records that an endpoint served a statement within the given duration and reported its log position.
func (d *Database) RecordServed(name string, position endpoint.Position, took time.Duration) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithServed(name, position, took, now) })
}

// RecordBusy records that an endpoint had no free slot.
func (d *Database) RecordBusy(name string) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithBusy(name, now) })
}

// RecordBehind records that an endpoint lacked a log position, and the one it has applied.
func (d *Database) RecordBehind(name string, lacked, applied endpoint.Position) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithBehind(name, lacked, applied, now) })
}

// Avoid records that an endpoint failed and is to be avoided for a while, as described at group.View.WithAvoid.
func (d *Database) Avoid(name string, pause time.Duration) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithAvoid(name, now.Add(pause)) })
}

// configure applies the group's endpoints, the endpoint registered as primary (claim, empty if there is none), and the
// division of each endpoint's connections.
func (d *Database) configure(members []config.Endpoint, claim string, share func(config.Endpoint) Share) {
	d.mu.Lock()
	current := make(map[string]bool, len(members))
	for _, e := range members {
		current[e.Name] = true
		d.updatePool(e, share(e))
		d.recordLeaving(e)
		d.recordRegistered(e)
	}
	for name, p := range d.pools {
		if !current[name] {
			d.recordDeparture(p.Endpoint())
			d.removePool(name, p)
		}
	}
	d.members = members
	d.mu.Unlock()
	if claim != "" {
		d.update("claim", func(v group.View, now time.Time) group.View { return v.WithClaim(claim, now) })
	}
}

// updatePool creates, resizes or replaces an endpoint's pools.
func (d *Database) updatePool(e config.Endpoint, share Share) {
	d.removeReplaced(e)
	own := connection.Options{
		Endpoint: e, Dialer: d.options.Dialer, Clock: d.options.Clock, Logger: d.options.Logger, Limit: share.Limit, InFlight: share.InFlight,
		ByWorkspace: share.ByWorkspace, Detour: d.options.Detour, Context: d.options.Context,
	}
	hasHolders := d.options.Lending != nil && share.Holders > 0
	holds := hasHolders && d.options.Lending.Holds(e, share)
	borrowsToo := hasHolders && share.ByWorkspace
	if holds && borrowsToo {
		d.setPool(d.held, own, share)
	} else {
		d.closeHeld(e.Name)
	}
	if borrowsToo || hasHolders && !holds {
		d.setPool(d.pools, d.borrowing(own), share)
	} else {
		d.setPool(d.pools, own, share)
	}
}

// borrowing returns the options of a pool that borrows connections instead of opening its own.
func (d *Database) borrowing(o connection.Options) connection.Options {
	o.Borrows, o.Limit, o.InFlight = true, maxBorrowed, 0
	if o.ByWorkspace {
		o.Dialer, o.Detour = d.options.Lending.WorkspaceDialer(), nil
	} else {
		o.Dialer = d.options.Lending.Dialer()
	}
	return o
}

// setPool creates or resizes a pool. The pool is replaced if this instance starts or stops borrowing connections to the endpoint
// or dividing them by workspace.
func (d *Database) setPool(pools map[string]*connection.Pool, o connection.Options, share Share) {
	e := o.Endpoint
	if p, ok := pools[e.Name]; ok {
		if p.Serves(o) {
			p.Resize(o.Limit, o.InFlight)
			return
		}
		p.Close()
	}
	d.options.Logger.Log(event.ConnectionsAllocated, log.Fields{
		"endpoint": e.Name, "limit": o.Limit, "borrows": o.Borrows, "holders": share.Holders,
	})
	pools[e.Name] = connection.New(o)
}

// closeHeld closes this instance's own connections to an endpoint whose connections it only borrows from now on.
func (d *Database) closeHeld(endpoint string) {
	if p, ok := d.held[endpoint]; ok {
		p.Close()
		delete(d.held, endpoint)
	}
}

// removeReplaced closes the pools of an endpoint that was restarted or moved to another address and discards what was observed of
// it.
func (d *Database) removeReplaced(e config.Endpoint) {
	p, ok := d.pools[e.Name]
	if !ok || p.Endpoint().Incarnation == e.Incarnation && p.Endpoint().Address == e.Address {
		return
	}
	if p.Endpoint().Incarnation != e.Incarnation {
		d.recordDeparture(p.Endpoint())
	}
	d.removePool(e.Name, p)
}

// recordLeaving records when an endpoint was first seen to be leaving.
func (d *Database) recordLeaving(e config.Endpoint) {
	_, known := d.leavingSince[e.Name]
	switch {
	case !e.Leaving:
		delete(d.leavingSince, e.Name)
	case !known:
		d.leavingSince[e.Name] = d.options.Clock.Now()
	}
}

// removePool closes an endpoint's pools and discards what was observed of the endpoint.
func (d *Database) removePool(name string, p *connection.Pool) {
	p.Close()
	delete(d.pools, name)
	d.closeHeld(name)
	delete(d.leavingSince, name)
	d.view = d.view.Without(name)
}

// Trim closes the connections that are not needed.
func (d *Database) Trim() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.Trim()
	}
	for _, p := range d.held {
		p.Trim()
	}
}

func (d *Database) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		d.removePool(name, p)
	}
}
