package hosted

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"siskincove/caller"
	"siskincove/clock"
	"siskincove/config"
	"siskincove/coordinator"
	"siskincove/database"
	"siskincove/directory"
	"siskincove/dispatch"
	"siskincove/event"
	"siskincove/loan"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/settings"
	"siskincove/succession"
)

const (
	// pollersPerDomain is how many instances of a failure domain read the endpoints from the store; the others hear of
	// changes from them.
	pollersPerDomain = 1
	// heartbeatPeriod is the time between two rounds of heartbeats, which also relay proofs and versions.
	heartbeatPeriod = 700 * time.Millisecond
	// rosterInterval is how often the list of instances is read; peers tell of new ones sooner.
	rosterInterval = 30 * time.Second
)

// Instance is one running instance.
type Instance struct {
	options      Options
	settings     atomic.Pointer[settings.Settings]
	ctx          context.Context
	cancel       context.CancelFunc
	wired        chan struct{}
	tidied       chan struct{}
	node         *peer.Node
	members      *member.Driver
	roster       *member.Roster
	directory    *directory.Directory
	databases    *database.Registry
	dispatcher   *dispatch.Dispatcher
	lender       *loan.Lender
	coordinators *coordinator.Set[*succession.Coordinator]
	callers      *caller.Server
	health       *health
	// fetching is held while a peer's directory is fetched, so that one is at a time.
	fetching sync.Mutex
}

// New starts an instance; it ends with ctx, or gracefully by Leave.
func New(ctx context.Context, o Options) (*Instance, error) {
	l, err := listen(o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	i := &Instance{options: o, ctx: ctx, cancel: cancel, wired: make(chan struct{}), tidied: make(chan struct{})}
	i.settings.Store(&o.Settings)
	i.start(l)
	close(i.wired)
	go i.tidy()
	i.directory.Reapply()
	s := o.Settings
	o.Logger.Log(event.Started, log.Fields{
		"instance": s.Instance.ID, "domain": s.Instance.Domain, "callers": s.Listen.Callers, "peers": s.Listen.Peers,
	})
	return i, nil
}

func (i *Instance) start(l listeners) {
	o, s := i.options, i.options.Settings
	i.node = peer.New(i.ctx, peer.Options{
		Listener: l.peers, Self: s.Listen.Peers, Handler: i, Logger: o.Logger, Connector: peer.Connector{Domain: s.Instance.Domain},
	})
	i.databases = database.NewRegistry(database.Options{Dialer: o.Dialer, Clock: o.Clock, Logger: o.Logger, Drain: i.endpointDrain, Detour: i.detour, Lending: lending{i}})
	i.lender = i.newLender()
	i.directory = directory.New(i.ctx, directory.Options{
		Rows: o.Rows, Decoder: o.Decoder, Clock: o.Clock, Logger: o.Logger, Regions: i.regions, Polls: i.polls, Apply: i.apply,
	})
	i.startMembers()
	i.dispatcher = dispatch.New(i.ctx, dispatch.Options{
		Domain: s.Instance.Domain, Catalogs: i.directory, Databases: i.databases, Clock: o.Clock, Logger: o.Logger,
	})
	i.startCoordinators()
	i.callers = caller.New(i.ctx, l.callers, caller.Options{
		Protocol: o.Protocol, Dispatcher: i.dispatcher, Clock: o.Clock, Logger: o.Logger,
	})
	i.health = newHealth(i.ctx, l, i)
}

func (i *Instance) startMembers() {
	o, s := i.options, i.options.Settings
	self := member.Instance{
		ID: s.Instance.ID, Address: s.Listen.Peers, Domain: s.Instance.Domain, Incarnation: uint64(time.Now().UnixNano()),
	}
	i.roster = member.NewRoster(o.Rows, self, o.Logger)
	i.members = member.New(i.ctx, member.Options{
		Self: self, Clock: o.Clock, Logger: o.Logger, Dialer: i.node, Roster: i.roster, Revisions: noRevisions{},
		RosterInterval: rosterInterval, Period: heartbeatPeriod, Seeds: i.seeds,
		Extend: i.extend, OnHeartbeat: i.absorb, Changed: i.changed, Drop: i.node.Drop,
	})
}

func (i *Instance) startCoordinators() {
	o := i.options
	i.coordinators = coordinator.New(i.ctx, coordinator.Options[*succession.Coordinator]{
		Self: o.Settings.Instance.ID, Members: i.members, Count: succession.CoordinatorsPerDatabase,
		Start: func(ctx context.Context, d config.Database, members []config.Endpoint) *succession.Coordinator {
			return succession.Start(ctx, succession.Options{
				Timing: succession.DefaultTiming, Clock: o.Clock, Logger: o.Logger, Dialer: o.Dialer, Promoter: o.Promoter,
				Rows: o.Rows, Databases: i.databases, Ranking: i.coordinators, Refresh: i.directory.Refresh,
				Announce: i.announce,
			}, d, members)
		},
	})
}

// tidyInterval is how often connections that are not needed are looked for.
const tidyInterval = time.Second

// tidy closes connections that are not needed until the instance ends.
func (i *Instance) tidy() {
	defer close(i.tidied)
	for clock.Wait(i.ctx, i.options.Clock, tidyInterval) == nil {
		for _, d := range i.databases.All() {
			d.Trim()
		}
	}
}

// noRevisions stands for the configuration that instances publish themselves, which there is none of here.
type noRevisions struct{}

// Revision returns no revision.
func (noRevisions) Revision() (uint64, string) { return 0, "" }

// Heard ignores revisions.
func (noRevisions) Heard(uint64, string) {}

// polls reports whether this instance reads the endpoints for its failure domain.
func (i *Instance) polls() bool {
	<-i.wired
	own := i.options.Settings.Instance
	for _, other := range i.members.Near("poller/"+own.Domain, own.Domain, pollersPerDomain) {
		if other.ID == own.ID {
			return true
		}
	}
	return false
}

// apply brings a catalog into force.
func (i *Instance) apply(catalog *config.Catalog, claims map[string]string) {
	i.databases.Configure(catalog, claims, i.census())
	select {
	case <-i.wired:
		i.coordinators.Configure(catalog)
	default:
		// Reapply follows once all parts are wired.
	}
}

// census returns how many instances there are, 0 while that is not known.
func (i *Instance) census() int {
	select {
	case <-i.wired:
	default:
		return 0
	}
	n, known := i.members.InstanceCount()
	if !known {
		return 0
	}
	return n
}

// changed takes in that the set of live instances in a region changed.
func (i *Instance) changed(region string) {
	<-i.wired
	i.directory.Reapply()
	i.coordinators.Reconcile(region)
}

// wait returns when every part has ended.
func (i *Instance) wait() {
	<-i.callers.Done()
	<-i.dispatcher.Done()
	<-i.members.Done()
	<-i.directory.Done()
	<-i.node.Done()
	<-i.health.done
	<-i.tidied
}

// Close ends the instance at once.
func (i *Instance) Close() {
	i.cancel()
	i.wait()
}
