package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

const (
	defaultPeriod    = 250 * time.Millisecond
	urgentPeriod     = 100 * time.Millisecond
	heartbeatTimeout = 200 * time.Millisecond
	// pushPause is the least time between two rounds of heartbeats that Push requested.
	pushPause      = 100 * time.Millisecond
	rosterInterval = 5 * time.Second
	// seedDelay is how long the roster may take at the start before the seeds are contacted.
	seedDelay     = 100 * time.Millisecond
	rosterTimeout = 2 * time.Second
	// unlistedRosterInterval is the interval between reads of the roster until it lists this instance.
	unlistedRosterInterval = 250 * time.Millisecond
	// settlePeriods is the number of heartbeat periods after rosterKnown is set before this instance may own endpoints.
	settlePeriods = 4
	// settleTimeout is the time after its start from which an instance counts these periods although rosterKnown is not set,
	// and so may own endpoints with the other instances it knows by then.
	settleTimeout = 10 * time.Second
	// ownerCandidates is how many of the instances that rank highest for an endpoint accept work for it.
	ownerCandidates = 2
)

// Revisions exchanges the configuration revision numbers that heartbeats carry.
type Revisions interface {
	// Revision returns this instance's active revision and its hash.
	Revision() (uint64, string)
	// RecordPeerRevision records that the peer at an address has a revision.
	RecordPeerRevision(revision uint64, address string)
}

// Options are the settings and dependencies of a driver.
type Options struct {
	Self      Instance
	Clock     clock.Service
	Logger    *event.Logger
	Dialer    peer.Dialer
	Roster    Lister
	Revisions Revisions
	// RosterInterval is how often the roster is read once this instance is known to be listed, 0 for the default.
	RosterInterval time.Duration
	// PresumeUnproven lets instances of the roster and of rumours take part in the placement before they have answered.
	PresumeUnproven bool
	// ShouldReadRoster, if set, reports whether this instance reads the roster again once it is known to be listed. The
	// others learn of new instances from rumours.
	ShouldReadRoster func() bool
	// Period is the pause between two rounds of heartbeats while no instance has to be probed urgently, 0 for the default.
	Period time.Duration
	// Seeds, if set, returns addresses, maybe stale, of instances to contact until the roster is known.
	Seeds func() []string
	// OnChange is called after the set of live instances in a region has changed; "" means all regions.
	OnChange func(region string)
	// ExtendHeartbeat, if set, adds further data to each outgoing heartbeat h. request is the heartbeat that h answers, nil
	// if it answers none.
	ExtendHeartbeat func(h, request *wire.Heartbeat)
	// OnHeartbeat, if set, is called with each received heartbeat. For a reply, sentAt is when this instance sent the
	// heartbeat that it answers; otherwise it is zero.
	OnHeartbeat func(h *wire.Heartbeat, sentAt time.Time)
	// OnMissed, if set, is called with the address of an instance that did not answer a heartbeat.
	OnMissed func(address string)
	// OnDeath is called with the address of an instance that has died, to end the calls that still wait for it.
	OnDeath func(address string)
}

// Driver keeps the membership table up to date by heartbeats and the roster.
type Driver struct {
	options Options
	done    chan struct{}
	running sync.WaitGroup

	// pushRequested holds a value after Push until the heartbeats have been sent.
	pushRequested chan struct{}
	// probeRequested holds a value after ProbeSoon until the next round of heartbeats.
	probeRequested chan struct{}
	// rosterRequested holds a value after RereadRoster until the roster is read.
	rosterRequested chan struct{}
	// rosterAnswered is closed after the first attempt to read the roster.
	rosterAnswered chan struct{}

	mu      sync.Mutex
	table   *Table
	started time.Time
	// rosterKnown is set once a roster that lists this instance was read: one that does not is older than the instance and
	// may lack others too. The reply of a peer whose own rosterKnown is set, and which names all instances, counts as well.
	rosterKnown bool
	// settledPeriods counts the heartbeat periods since rosterKnown was set or settleTimeout passed.
	settledPeriods int
	// ownerOrders caches the owner candidates of each endpoint for a version of the table.
	ownerOrders map[string][]Instance
	version     uint64
	// lastOwner is the owner of each endpoint when its candidates were last computed.
	lastOwner map[string]string
	// placement ranks the live instances as of version.
	placement *Placement
	// known ranks the known instances as of knownVersion.
	known        *Placement
	knownVersion uint64
}

// New starts a driver that stops when ctx ends.
func New(ctx context.Context, o Options) *Driver {
	if o.RosterInterval == 0 {
		o.RosterInterval = rosterInterval
	}
	if o.Period == 0 {
		o.Period = defaultPeriod
	}
	d := &Driver{
		options: o, started: o.Clock.Now(), done: make(chan struct{}), pushRequested: make(chan struct{}, 1),
		probeRequested: make(chan struct{}, 1), rosterRequested: make(chan struct{}, 1), rosterAnswered: make(chan struct{}), table: NewTable(o.Self),
		ownerOrders: make(map[string][]Instance), lastOwner: make(map[string]string),
	}
	if o.PresumeUnproven {
		d.table.PresumeUnproven()
	}
	d.running.Go(func() { d.heartbeatLoop(ctx) })
	d.running.Go(func() { d.pushLoop(ctx) })
	d.running.Go(func() { d.rosterLoop(ctx) })
	go func() {
		defer close(d.done)
		d.running.Wait()
	}()
	return d
}

// Done returns a channel that is closed when the driver's goroutines have ended.
func (d *Driver) Done() <-chan struct{} { return d.done }

// Instances returns the other known instances, ordered by ID.
func (d *Driver) Instances() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Instances()
}

// InstanceCount returns how many instances there are, this one included. The result is false until this instance, or a
// peer that it exchanged heartbeats with, has read a roster that lists the reader.
func (d *Driver) InstanceCount() (int, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.InstanceCount(d.options.Clock.Now()), d.rosterKnown
}

// DomainOf returns the failure domain of the instance at an address, "" if it is not known.
func (d *Driver) DomainOf(address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, i := range d.table.instances {
		if i.Address == address {
			return i.Domain
		}
	}
	return ""
}

// AwaitRoster waits until the first attempt to read the roster has ended.
func (d *Driver) AwaitRoster(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-d.rosterAnswered:
	}
}

// Live returns the instances that may own endpoints, this one included unless it is leaving.
func (d *Driver) Live() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table.Live()
}

// PlacedPeers returns the other instances that take part in the placement.
func (d *Driver) PlacedPeers() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.DeleteFunc(d.table.Placed(), func(i Instance) bool { return i.ID == d.options.Self.ID })
}

// servingPeers returns the other instances that may serve callers: those in the placement, and those that are leaving.
func (d *Driver) servingPeers() []Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	serves := func(i Instance) bool { return d.table.placed(i) || i.State == Leaving }
	return slices.DeleteFunc(d.table.selected(serves), func(i Instance) bool { return i.ID == d.options.Self.ID })
}

// Leave marks this instance as leaving and announces that to every live peer.
func (d *Driver) Leave(ctx context.Context) {
	d.mu.Lock()
	d.table.MarkLeaving(d.options.Clock.Now())
	d.mu.Unlock()
	d.Announce(ctx, nil)
	d.options.OnChange("")
}

// ProbeSoon requests a heartbeat to the instance at an address within urgentPeriod.
func (d *Driver) ProbeSoon(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ProbeSoon(address, d.options.Clock.Now())
	select {
	case d.probeRequested <- struct{}{}:
	default:
	}
}
