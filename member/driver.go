package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
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

func (d *Driver) heartbeatLoop(ctx context.Context) {
	if d.options.Seeds != nil {
		d.awaitRoster(ctx)
	}
	for {
		d.contactSeeds(ctx)
		urgent := d.sendRound(ctx)
		pause := d.options.Period
		if urgent {
			pause = urgentPeriod
		}
		select {
		case <-ctx.Done():
			return
		case <-d.options.Clock.After(pause):
		case <-d.probeRequested:
			// Further requests that follow at once share the round.
			_ = clock.Wait(ctx, d.options.Clock, urgentPeriod)
		}
	}
}

// sendRound sends one period's heartbeats and reports whether some instance has to be probed urgently.
func (d *Driver) sendRound(ctx context.Context) bool {
	d.mu.Lock()
	targets := d.table.Targets(d.options.Clock.Now())
	partners := d.table.partners()
	d.mu.Unlock()
	var wait sync.WaitGroup
	for _, i := range targets {
		extend := withoutInterests
		if slices.ContainsFunc(partners, func(p Instance) bool { return p.ID == i.ID }) {
			extend = nil
		}
		wait.Go(func() { d.exchange(ctx, i, extend) })
	}
	wait.Wait()
	return d.endRound()
}

func (d *Driver) endRound() bool {
	d.mu.Lock()
	if d.rosterKnown || d.options.Clock.Now().Sub(d.started) > settleTimeout {
		d.settledPeriods++
	}
	settled := d.settledPeriods == settlePeriods
	urgent := len(d.table.urgent) > 0
	d.mu.Unlock()
	if settled {
		d.options.OnChange("")
	}
	return urgent
}

// exchange sends a heartbeat, extended by extend unless that is nil, and records the reply, or that none came.
func (d *Driver) exchange(ctx context.Context, i Instance, extend func(h *wire.Heartbeat)) {
	defer d.options.Logger.Contain("heartbeat")
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := d.options.Clock.Now()
	h := d.heartbeat(nil)
	if extend != nil {
		extend(h)
	}
	reply, err := peer.Call(ctx, d.options.Dialer, i.Address, &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: h}})
	if err == nil && reply.GetHeartbeat().GetId() == i.ID {
		d.applyReply(h, reply.GetHeartbeat())
		d.notifyHeartbeat(reply.GetHeartbeat(), sentAt)
		return
	}
	d.mu.Lock()
	changes := d.table.Missed(i.ID, d.options.Clock.Now())
	d.mu.Unlock()
	if d.options.OnMissed != nil {
		d.options.OnMissed(i.Address)
	}
	d.handleChanges(changes)
}

func (d *Driver) notifyHeartbeat(h *wire.Heartbeat, sentAt time.Time) {
	if d.options.OnHeartbeat != nil {
		d.options.OnHeartbeat(h, sentAt)
	}
}

// heartbeat returns a heartbeat to send. request is the heartbeat that it answers, nil if it answers none. If the sender of
// the request does not know the other instances yet and rosterKnown is set, the reply names live instances.
func (d *Driver) heartbeat(request *wire.Heartbeat) *wire.Heartbeat {
	revision, _ := d.options.Revisions.Revision()
	out := d.ownHeartbeat(request)
	out.Revision = revision
	if d.options.ExtendHeartbeat != nil {
		d.options.ExtendHeartbeat(out, request)
	}
	return out
}

func (d *Driver) ownHeartbeat(request *wire.Heartbeat) *wire.Heartbeat {
	d.mu.Lock()
	defer d.mu.Unlock()
	self := d.table.Self()
	out := &wire.Heartbeat{
		Id: self.ID, Address: self.Address, Domain: self.Domain, Incarnation: self.Incarnation,
		Leaving: self.State == Leaving, Settled: d.rosterKnown,
	}
	var rumours []Rumour
	if request != nil && !request.GetSettled() && d.rosterKnown {
		rumours, out.Next = d.table.RumoursAfter(request.GetAfter())
	} else {
		rumours = d.table.NextRumours()
	}
	for _, r := range rumours {
		out.Rumours = append(out.Rumours, &wire.Rumour{
			Id: r.ID, Address: r.Address, Domain: r.Domain, Incarnation: r.Incarnation, State: uint32(r.State),
		})
	}
	return out
}

// Serve answers a peer's heartbeat; it returns false for frames of other kinds.
func (d *Driver) Serve(frame *wire.Frame, stream peer.Stream) bool {
	h := frame.GetHeartbeat()
	if h == nil {
		return false
	}
	received := d.options.Clock.Now()
	d.ApplyHeartbeat(h)
	d.notifyHeartbeat(h, time.Time{})
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: d.heartbeat(h)}})
	d.recordAnswer(h, d.options.Clock.Now().Sub(received))
	return true
}

var answerTimes = metrics.NewHistogram("siskincove_heartbeat_answer_seconds")

// recordAnswer records how long it took to answer a peer's heartbeat.
func (d *Driver) recordAnswer(h *wire.Heartbeat, took time.Duration) {
	answerTimes.Update(took.Seconds())
	if took >= heartbeatTimeout {
		d.options.Logger.Log(event.HeartbeatLate, log.Fields{"instance": h.GetId(), "address": h.GetAddress(), "took": took.String()})
	}
}

// applyReply applies the reply to a heartbeat that this instance sent. A peer that knows the other instances names them in the
// replies to one that does not; the reply that names the last ones makes it know all.
func (d *Driver) applyReply(request, reply *wire.Heartbeat) {
	d.ApplyHeartbeat(reply)
	if request.GetSettled() || !reply.GetSettled() || reply.GetNext() != "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rosterKnown = true
}

// ApplyHeartbeat updates the table by a peer's heartbeat.
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
	version := d.table.Version()
	d.table.ApplyRumours(rumours, now)
	added := d.table.Version() != version
	d.mu.Unlock()
	d.options.Revisions.RecordPeerRevision(h.GetRevision(), h.GetAddress())
	d.handleChanges(changes)
	if added {
		d.options.OnChange("")
	}
}

func (d *Driver) handleChanges(changes []Change) {
	regions := make(map[string]bool)
	for _, c := range changes {
		fields := log.Fields{"instance": c.Instance.ID, "address": c.Instance.Address, "before": c.Before.String()}
		switch {
		case c.Instance.State == c.Before:
		case c.Instance.State == Alive:
			if c.Before != Suspect {
				d.options.Logger.Log(event.MemberAlive, fields)
			}
		case c.Instance.State == Leaving:
			d.options.Logger.Log(event.MemberLeaving, fields)
		case c.Instance.State == Dead:
			d.options.Logger.Log(event.MemberDead, fields)
			d.options.OnDeath(c.Instance.Address)
		}
		if c.Moved {
			regions[config.Region(c.Instance.Domain)] = true
		}
	}
	for region := range regions {
		d.options.OnChange(region)
	}
}
