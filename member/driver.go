package member

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

const (
	period           = 250 * time.Millisecond
	urgentPeriod     = 100 * time.Millisecond
	heartbeatTimeout = 200 * time.Millisecond
	rosterInterval   = 5 * time.Second
	rosterTimeout    = 2 * time.Second
	// rosterUnlisted is the interval until the list names this instance.
	rosterUnlisted = 250 * time.Millisecond
	// settlePeriods is how many periods pass, after the list names this instance, before it owns anything.
	settlePeriods = 4
	// settleLimit is after how long an instance settles with what it knows while there is no list that names it.
	settleLimit = 10 * time.Second
	// mayOwn is how many instances in the order of an endpoint accept work for it.
	mayOwn = 2
)

// Revisions tells and takes the configuration revision that heartbeats relay.
type Revisions interface {
	// Revision returns the revision in force here and its hash.
	Revision() (uint64, string)
	// Heard takes in that the peer at an address has a revision.
	Heard(revision uint64, address string)
}

// Options are what a driver needs to know and to use.
type Options struct {
	Self      Instance
	Clock     clock.Service
	Logger    *event.Logger
	Dialer    peer.Dialer
	Roster    Lister
	Revisions Revisions
	// RosterInterval is how often the list is read once it names this instance, 0 for the default.
	RosterInterval time.Duration
	// Period is the time between two rounds of heartbeats without doubt, 0 for the default.
	Period time.Duration
	// Seeds, if set, returns addresses, maybe stale, at which other instances may be met before the list is read.
	Seeds func() []string
	// Changed is called after the set of live instances in a region has changed, with "" for all regions.
	Changed func(region string)
	// Extend, if set, adds to each heartbeat what others should know.
	Extend func(h *wire.Heartbeat)
	// Absorb, if set, takes in what a heartbeat adds; asked is when this instance sent the one that it answers, zero for a
	// heartbeat that answers none.
	OnHeartbeat func(h *wire.Heartbeat, asked time.Time)
	// Drop is called with the address of an instance that died, to end what still waits for it.
	Drop func(address string)
}

// Driver keeps the table by heartbeats and the platform's list.
type Driver struct {
	options Options
	done    chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	table   *Table
	started time.Time
	// listed is set once a list named this instance: a list that does not is older than the instance, and so may lack
	// others too.
	// A settled peer that knows the instance stands for such a list.
	listed  bool
	periods int
	owners  map[string][]Instance
	version uint64
	// last is the owner of each endpoint when it was last asked for.
	last map[string]string
	// placement ranks the live instances of the table's version.
	placement *Placement
}

// New starts a driver that ends with ctx.
func New(ctx context.Context, o Options) *Driver {
	if o.RosterInterval == 0 {
		o.RosterInterval = rosterInterval
	}
	if o.Period == 0 {
		o.Period = period
	}
	d := &Driver{options: o, started: o.Clock.Now(), done: make(chan struct{}), table: NewTable(o.Self), owners: make(map[string][]Instance), last: make(map[string]string)}
	d.running.Go(func() { d.beat(ctx) })
	d.running.Go(func() { d.readRoster(ctx) })
	go func() {
		defer close(d.done)
		d.running.Wait()
	}()
	return d
}

// Done is closed when the driver's goroutines have ended.
func (d *Driver) Done() <-chan struct{} { return d.done }

// Instances returns the other instances as known.
func (d *Driver) Instances() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Instances()
}

// Census returns how many instances there are, this one included, and false while a list or a peer that knows the others
// has not told of them.
func (d *Driver) InstanceCount() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.InstanceCount(d.options.Clock.Now()), d.listed
}

// Live returns the instances that may own endpoints.
func (d *Driver) Live() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Live()
}

// Leave marks this instance as leaving and tells every live peer at once.
func (d *Driver) Leave(ctx context.Context) {
	d.mu.Lock()
	d.table.Leave(d.options.Clock.Now())
	d.mu.Unlock()
	d.Announce(ctx)
	d.options.Changed("")
}

// Doubt asks for a heartbeat to an address soon.
func (d *Driver) ProbeSoon(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ProbeSoon(address, d.options.Clock.Now())
}

func (d *Driver) beat(ctx context.Context) {
	for {
		d.greet(ctx)
		urgent := d.round(ctx)
		pause := d.options.Period
		if urgent {
			pause = urgentPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		}
	}
}

// round sends one period's heartbeats and reports whether some instance is in doubt.
func (d *Driver) round(ctx context.Context) bool {
	d.mu.Lock()
	targets := d.table.Targets(d.options.Clock.Now())
	d.mu.Unlock()
	var wait sync.WaitGroup
	for _, i := range targets {
		wait.Go(func() { d.exchange(ctx, i) })
	}
	wait.Wait()
	return d.endRound()
}

func (d *Driver) endRound() bool {
	d.mu.Lock()
	if d.listed || d.options.Clock.Now().Sub(d.started) > settleLimit {
		d.periods++
	}
	settled := d.periods == settlePeriods
	urgent := len(d.table.urgent) > 0
	d.mu.Unlock()
	if settled {
		d.options.Changed("")
	}
	return urgent
}

// exchange sends a heartbeat and takes in its answer, or that there was none.
func (d *Driver) exchange(ctx context.Context, i Instance) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	asked := d.options.Clock.Now()
	reply, err := peer.Call(ctx, d.options.Dialer, i.Address, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: d.heartbeat(false)}})
	if err == nil && reply.GetHeartbeat().GetId() == i.ID {
		d.ApplyHeartbeat(reply.GetHeartbeat())
		d.absorb(reply.GetHeartbeat(), asked)
		return
	}
	d.mu.Lock()
	changes := d.table.Missed(i.ID, d.options.Clock.Now())
	d.mu.Unlock()
	d.report(changes)
}

func (d *Driver) absorb(h *wire.Heartbeat, asked time.Time) {
	if d.options.OnHeartbeat != nil {
		d.options.OnHeartbeat(h, asked)
	}
}

// heartbeat returns this instance's own, with all it knows for a peer that does not know the others yet.
func (d *Driver) heartbeat(whole bool) *wire.Heartbeat {
	revision, _ := d.options.Revisions.Revision()
	out := d.own(whole)
	out.Revision = revision
	if d.options.Extend != nil {
		d.options.Extend(out)
	}
	return out
}

func (d *Driver) own(whole bool) *wire.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.table.Self()
	out := &wire.Heartbeat{
		Id: self.ID, Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation,
		Leaving: self.State == Leaving, Settled: d.listed,
	}
	rumours := d.table.NextRumours()
	if whole && d.listed {
		rumours = d.table.AllRumours()
	}
	for _, r := range rumours {
		out.Rumours = append(out.Rumours, &wire.Rumour{
			Id: r.ID, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, State: uint32(r.State),
		})
	}
	return out
}

// Serve answers a peer's heartbeat; it reports false for frames of other kinds.
func (d *Driver) Serve(first *wire.Frame, stream peer.Stream) bool {
	h := first.GetHeartbeat()
	if h == nil {
		return false
	}
	d.ApplyHeartbeat(h)
	d.absorb(h, time.Time{})
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: d.heartbeat(!h.GetSettled())}})
	return true
}

// Take takes in a peer's heartbeat.
func (d *Driver) ApplyHeartbeat(h *wire.Heartbeat) {
	now := d.options.Clock.Now()
	from := Instance{ID: h.GetId(), Address: h.GetAddress(), Domain: h.GetDomain(), Incarnation: h.GetIncarnation()}
	rumours := make([]Rumour, 0, len(h.GetRumours()))
	for _, r := range h.GetRumours() {
		rumours = append(rumours, Rumour{
			ID: r.GetId(), Address: r.GetAddress(), Domain: r.GetDomain(), Incarnation: r.GetIncarnation(), State: State(r.GetState()),
		})
	}
	d.mu.Lock()
	changes := d.table.Answered(from, h.GetLeaving(), now)
	d.table.ApplyRumours(rumours, now)
	d.listed = d.listed || h.GetSettled()
	d.mu.Unlock()
	d.options.Revisions.Heard(h.GetRevision(), h.GetAddress())
	d.report(changes)
}

func (d *Driver) report(changes []Change) {
	regions := make(map[string]bool)
	for _, c := range changes {
		fields := log.Fields{"instance": c.Instance.ID, "address": c.Instance.Address, "before": c.Before.String()}
		switch c.Instance.State {
		case Alive:
			if c.Before != Suspect {
				d.options.Logger.Log(event.MemberAlive, fields)
			}
		case Leaving:
			d.options.Logger.Log(event.MemberLeaving, fields)
		case Dead:
			d.options.Logger.Log(event.MemberDead, fields)
			d.options.Drop(c.Instance.Address)
		}
		if c.Instance.State.Live() != c.Before.Live() {
			regions[config.Region(c.Instance.Domain)] = true
		}
	}
	for region := range regions {
		d.options.Changed(region)
	}
}
