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

// Database is one group.
type Database struct {
	name    string
	options Options

	mu      sync.Mutex
	view    group.View
	members []config.Endpoint
	pools   map[string]*connection.Pool
	// leaving is since when an endpoint is known to leave.
	leaving map[string]time.Time
	// departures are the endpoints that left and may have taken commits with them.
	departures []Departure
	// changed is closed, and replaced, when another endpoint leads or none does.
	changed chan struct{}
	// seekUntil is until when a read that seeks a proof of the lead goes alone.
	seekUntil time.Time
	// knownAt is when this instance came to know the group.
	knownAt time.Time
}

func newDatabase(name string, o Options) *Database {
	return &Database{
		name: name, options: o, pools: make(map[string]*connection.Pool), leaving: make(map[string]time.Time),
		changed: make(chan struct{}), knownAt: o.Clock.Now(),
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

// View returns what was seen of the group.
func (d *Database) View() group.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

// Changed returns a channel that is closed once another endpoint leads, none does, or a proof of the lead has come after a
// time without one.
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
	inflight := func(name string) int { return d.pools[name].Used() }
	return d.view.Choose(q, d.staying(now), inflight, now)
}

// staying returns the endpoints that may get new work.
func (d *Database) staying(now time.Time) []config.Endpoint {
	out := make([]config.Endpoint, 0, len(d.members))
	for _, e := range d.members {
		if d.mayServe(e.Name, now) {
			out = append(out, e)
		}
	}
	return out
}

// Stays reports whether an endpoint may get new work.
func (d *Database) Stays(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mayServe(name, d.options.Clock.Now())
}

// mayServe reports the same; d.mu is held.
func (d *Database) mayServe(name string, now time.Time) bool {
	since, leaving := d.leaving[name]
	return !leaving || now.Sub(since) < d.options.Drain()-noticeDelay
}

// Pool returns the connections to an endpoint, and false when it is no longer a member.
func (d *Database) Pool(endpoint string) (*connection.Pool, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pools[endpoint]
	return p, ok
}

// update changes the view and tells those who wait when another endpoint leads.
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
		d.seekUntil = time.Time{}
	}
	if before.Endpoint == after.Endpoint {
		return
	}
	fields := log.Fields{"database": d.name, "before": before.Endpoint, "after": after.Endpoint, "why": why}
	if after.Endpoint != "" {
		fields["age"] = d.options.Clock.Now().Sub(after.At).String()
	}
	d.options.Logger.Log(event.LeadChanged, fields)
}

// Led notes that an endpoint proved its lead at a time and told its log's position.
func (d *Database) RecordLead(name string, position endpoint.Position, at time.Time) {
	d.update("proof", func(v group.View, _ time.Time) group.View { return v.WithLead(name, position, at) })
}

// Heard notes what a peer knows: an endpoint proved its lead at a time.
func (d *Database) RecordPeerLead(name string, c session.Certificate) {
	if _, known := d.Pool(name); !known {
		return
	}
	d.update("peer", func(v group.View, _ time.Time) group.View { return v.WithLead(name, c.Position, c.At) })
}

// Hinted notes that, as a peer told, an endpoint led at about a time.
func (d *Database) RecordLeadHint(name string, at time.Time) {
	if _, known := d.Pool(name); !known {
		return
	}
	d.update("hint", func(v group.View, _ time.Time) group.View { return v.WithHint(name, at) })
}

// Denied notes that an endpoint refused a statement, sent at a time, since it does not lead.
func (d *Database) RecordDenial(name string, sent time.Time) {
	d.update("denial", func(v group.View, now time.Time) group.View { return v.WithDenial(name, sent, now) })
}

// Served notes a statement that an endpoint served.
func (d *Database) RecordServed(name string, position endpoint.Position, took time.Duration) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithServed(name, position, took, now) })
}

// Busy notes that an endpoint had no free slot.
func (d *Database) RecordBusy(name string) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithBusy(name, now) })
}

// Behind notes that an endpoint's log lacked a position.
func (d *Database) RecordBehind(name string, lacked, applied endpoint.Position) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithBehind(name, lacked, applied, now) })
}

// Avoid notes that an endpoint failed and is not to be used for a while.
func (d *Database) Avoid(name string, pause time.Duration) {
	d.update("", func(v group.View, now time.Time) group.View { return v.WithAvoid(name, now.Add(pause)) })
}

// configure takes over the group's endpoints and how the connections to each are divided.
func (d *Database) configure(members []config.Endpoint, claim string, share func(config.Endpoint) Share) {
	d.mu.Lock()
	current := make(map[string]bool, len(members))
	for _, e := range members {
		current[e.Name] = true
		d.place(e, share(e))
		d.note(e)
	}
	for name, p := range d.pools {
		if !current[name] {
			d.depart(p.Endpoint())
			d.drop(name, p)
		}
	}
	d.members = members
	d.mu.Unlock()
	if claim != "" {
		d.update("claim", func(v group.View, now time.Time) group.View { return v.WithClaim(claim, now) })
	}
}

// place makes or resizes an endpoint's pool; an endpoint that was started anew shares nothing with the one before.
func (d *Database) place(e config.Endpoint, share Share) {
	o := connection.Options{
		Endpoint: e, Dialer: d.options.Dialer, Clock: d.options.Clock, Logger: d.options.Logger, Limit: share.Limit,
		Detour: d.options.Detour,
	}
	if d.options.Lending != nil && share.Holders > 0 && !d.options.Lending.Holds(e, share.Holders) {
		o.Borrows, o.Dialer, o.Limit = true, d.options.Lending.Dialer(), borrowedMaximum
	}
	if p, ok := d.pools[e.Name]; ok {
		if p.Endpoint().Incarnation == e.Incarnation && p.Endpoint().Address == e.Address && p.Borrows() == o.Borrows {
			p.Resize(o.Limit)
			return
		}
		d.replacePool(e, p)
	}
	d.options.Logger.Log(event.PoolPlaced, log.Fields{
		"endpoint": e.Name, "limit": o.Limit, "borrows": o.Borrows, "holders": share.Holders,
	})
	d.pools[e.Name] = connection.New(o)
}

// replacePool closes an endpoint's pool. What was learned of the endpoint goes too, unless it is the same as before and
// only the way to it changes.
func (d *Database) replacePool(e config.Endpoint, p *connection.Pool) {
	if p.Endpoint().Incarnation == e.Incarnation && p.Endpoint().Address == e.Address {
		p.Close()
		return
	}
	if p.Endpoint().Incarnation != e.Incarnation {
		d.depart(p.Endpoint())
	}
	d.drop(e.Name, p)
}

// note keeps since when an endpoint leaves.
func (d *Database) note(e config.Endpoint) {
	_, known := d.leaving[e.Name]
	switch {
	case !e.Leaving:
		delete(d.leaving, e.Name)
	case !known:
		d.leaving[e.Name] = d.options.Clock.Now()
	}
}

func (d *Database) drop(name string, p *connection.Pool) {
	p.Close()
	delete(d.pools, name)
	delete(d.leaving, name)
	d.view = d.view.Without(name)
}

// Trim closes the connections that are not needed.
func (d *Database) Trim() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.pools {
		p.Trim()
	}
}

func (d *Database) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, p := range d.pools {
		d.drop(name, p)
	}
}
