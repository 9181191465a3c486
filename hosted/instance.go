package hosted

import (
	"context"
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
	"siskincove/freshness"
	"siskincove/loan"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/settings"
	"siskincove/succession"
)

const (
	// heartbeatPeriod is the time between two rounds of heartbeats, which also carry the directory's versions and proofs of
	// which endpoints lead.
	heartbeatPeriod = 700 * time.Millisecond
	// rosterInterval is how often the list of instances is read from the store. Peers report new
	// instances sooner.
	rosterInterval = 30 * time.Second
	// instanceCountWait is how long after the start the first configuration waits for the number of instances; the store
	// supplies both at about the same time.
	instanceCountWait         = 150 * time.Millisecond
	instanceCountPollInterval = 5 * time.Millisecond
)

// Instance is the running proxy of this process: it holds all components and the listeners.
type Instance struct {
	options     Options
	settings    atomic.Pointer[settings.Settings]
	ctx         context.Context
	cancel      context.CancelFunc
	startedAt   time.Time
	initialized chan struct{}
	trimDone    chan struct{}
	trafficDone chan struct{}
	// handoverDone is closed once handOverReads has returned.
	handoverDone chan struct{}
	node         *peer.Node
	members      *member.Driver
	roster       *member.Roster
	polling      *reading
	following    *reading
	directory    *directory.Directory
	freshness    *freshness.Keeper
	databases    *database.Registry
	dispatcher   *dispatch.Dispatcher
	lender       *loan.Lender
	// holderHealth tracks which holders of borrowed connections answer.
	holderHealth *loan.Health
	// spread tells which workspaces use several holders.
	spread       *loan.Spread
	coordinators *coordinator.Set[*succession.Coordinator]
	callers      *caller.Server
	health       *health
	// redistributor divides connections and coordinators again after changes of the live instances.
	redistributor *redistributor
	allotments    allotments
	// era is the latest era of the store that the directory has, 0 before the first.
	era atomic.Uint64
	// checkedKeys is the catalog against which the keys of open sessions were last checked, nil before the first.
	checkedKeys atomic.Pointer[config.Catalog]
	fetcher     *fetcher
	refresher   *refresher
	// pieces answers peers that pull the configuration or the endpoints.
	pieces peer.PieceServer
	tables tables
}

// New starts an instance. It runs until ctx is cancelled or until Shutdown or Close. It returns an error if the instance
// can't listen on one of its addresses.
func New(ctx context.Context, o Options) (*Instance, error) {
	l, err := listen(o.Settings.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	i := &Instance{options: o, ctx: ctx, cancel: cancel, startedAt: o.Clock.Now(), initialized: make(chan struct{}), trimDone: make(chan struct{}), trafficDone: make(chan struct{}), handoverDone: make(chan struct{})}
	i.fetcher, i.refresher, i.tables.logger = newFetcher(i), newRefresher(i), o.Logger
	i.polling = &reading{instance: i, kind: directory.EndpointReads, bit: endpointsBit, task: pollerTask, count: pollersPerDomain}
	i.following = &reading{instance: i, kind: directory.ConfigurationReads, bit: configurationBit, task: followerTask, count: followersPerDomain}
	i.settings.Store(&o.Settings)
	i.start(l)
	close(i.initialized)
	go i.trimConnections()
	go i.handOverReads()
	go i.logTraffic()
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
		Listener: l.peers, Self: s.Listen.Peers, Handler: i, Logger: o.Logger, Connector: peer.Connector{Proxy: s.Listen.Proxy, Domain: s.Instance.Domain},
		Traffic: o.Traffic, Distance: i.distance,
	})
	i.holderHealth, i.spread = loan.NewHealth(o.Clock), loan.NewSpread(o.Clock)
	i.databases = database.NewRegistry(database.Options{
		Context: i.ctx, Dialer: o.Dialer, Clock: o.Clock, Logger: o.Logger, DrainTime: i.endpointDrainTime, Detour: i.detour,
		Lending: lending{i},
	})
	i.lender = i.newLender()
	i.redistributor = startRedistributor(i.ctx, o.Clock, i.redistribute)
	// The list of instances is requested before the configuration, which needs the number of instances.
	i.startMembers()
	i.freshness = i.newFreshness()
	i.directory = directory.New(i.ctx, directory.Options{
		Rows: o.Rows, Decoder: o.Decoder, Clock: o.Clock, Logger: o.Logger, Regions: i.regions, ShouldPoll: i.polling.active, Apply: i.applyCatalog,
		ShouldFollow: i.following.active, Bootstrap: i.bootstrap, OnChange: i.announceChange, OnConfirmed: i.recordConfirmation,
		Confirms: i.needsProofs,
	})
	go i.fetcher.run(i.ctx)
	go i.refresher.run(i.ctx)
	i.startAllotments()
	i.dispatcher = dispatch.New(i.ctx, dispatch.Options{
		Domain: s.Instance.Domain, Catalogs: i.directory, Databases: i.databases, Clock: o.Clock, Logger: o.Logger, Freshness: i.freshness,
		Allotments: i.allotments.forDispatch(),
	})
	i.startCoordinators()
	i.callers = caller.New(i.ctx, l.callers, caller.Options{
		Protocol: o.Protocol, Dispatcher: i.dispatcher, Clock: o.Clock, Logger: o.Logger,
	})
	i.freshness.Start(i.ctx)
	i.health = newHealth(i.ctx, l, i)
}

// self returns this instance without its incarnation.
func (i *Instance) self() member.Instance {
	s := i.options.Settings
	return member.Instance{ID: s.Instance.ID, Address: s.Listen.Peers, Domain: s.Instance.Domain}
}

func (i *Instance) startMembers() {
	o := i.options
	self := i.self()
	self.Incarnation = uint64(time.Now().UnixNano())
	i.roster = member.NewRoster(o.Rows, self, o.Logger)
	i.members = member.New(i.ctx, member.Options{
		Self: self, Clock: o.Clock, Logger: o.Logger, Dialer: i.node, Roster: i.roster, Revisions: noRevisions{},
		RosterInterval: rosterInterval, PresumeUnproven: true, ShouldReadRoster: i.polling.active, Period: heartbeatPeriod, Seeds: i.seeds,
		ExtendHeartbeat: i.extendHeartbeat, OnHeartbeat: i.handleHeartbeat, OnChange: i.redistributor.request, OnDeath: i.node.Drop,
		OnMissed: i.holderHealth.RecordSilence,
	})
}

func (i *Instance) startCoordinators() {
	o := i.options
	turns := succession.NewTurns()
	i.coordinators = coordinator.New(i.ctx, coordinator.Options[*succession.Coordinator]{
		Self: o.Settings.Instance.ID, Members: i.members, Count: succession.CoordinatorsPerDatabase,
		Start: func(ctx context.Context, d config.Database, endpoints []config.Endpoint) *succession.Coordinator {
			return succession.Start(ctx, succession.Options{
				Timing: succession.DefaultTiming, Clock: o.Clock, Logger: o.Logger, Dialer: o.ProbeDialer, Promoter: o.Promoter, Turns: turns,
				Rows: o.Rows, Databases: i.databases, Ranking: i.coordinators, Refresh: i.refreshEndpoints,
				Era: func() uint64 { return i.directory.Versions().Endpoints.Era() }, Announce: i.announce,
			}, d, endpoints)
		},
	})
}

// trimInterval is how often unneeded connections to endpoints are closed.
const trimInterval = time.Second

// trimConnections closes unneeded connections to endpoints at intervals until the instance ends.
func (i *Instance) trimConnections() {
	defer close(i.trimDone)
	for clock.Wait(i.ctx, i.options.Clock, trimInterval) == nil {
		for _, d := range i.databases.All() {
			d.Trim()
		}
	}
}

// noRevisions implements member.Revisions for instances on the platform, whose configuration has no revisions.
type noRevisions struct{}

// Revision returns revision 0, which means none.
func (noRevisions) Revision() (uint64, string) { return 0, "" }

// RecordPeerRevision ignores revisions.
func (noRevisions) RecordPeerRevision(uint64, string) {}

// announceChange tells the partners at once that this instance has a newer directory, and ends the sessions whose keys are no
// longer valid.
func (i *Instance) announceChange() {
	select {
	case <-i.initialized:
		i.members.Push()
		i.freshness.Wake()
		i.endWithdrawn()
	default:
		// The first heartbeats follow at once, and New calls Reapply after closing initialized.
	}
}

// endWithdrawn ends the sessions whose keys are no longer valid, if the workspaces have changed since the last call.
func (i *Instance) endWithdrawn() {
	catalog := i.directory.Catalog()
	if previous := i.checkedKeys.Swap(catalog); catalog.SharesWorkspaces(previous) {
		return
	}
	i.callers.EndWithdrawn()
}

// applyCatalog configures the databases and, once the instance is initialized, the coordinators. primaries maps each database
// to the endpoint that is registered as its primary.
func (i *Instance) applyCatalog(catalog *config.Catalog, primaries map[string]string) {
	i.awaitInstanceCount()
	i.databases.Configure(catalog, primaries, i.instanceCount())
	select {
	case <-i.initialized:
		i.coordinators.Configure(catalog)
	default:
		// New calls Reapply after closing initialized.
	}
}

// awaitInstanceCount waits, until instanceCountWait after the start, for the number of instances. Without it this instance would
// open connections of its own to every endpoint, at the same time as all others after a restart.
func (i *Instance) awaitInstanceCount() {
	for i.instanceCount() == 0 && i.options.Clock.Now().Sub(i.startedAt) < instanceCountWait {
		if clock.Wait(i.ctx, i.options.Clock, instanceCountPollInterval) != nil {
			return
		}
	}
}

// instanceCount returns the number of instances, or 0 if it is not known yet.
func (i *Instance) instanceCount() int {
	select {
	case <-i.initialized:
	default:
		return 0
	}
	n, known := i.members.InstanceCount()
	if !known {
		return 0
	}
	return n
}

// redistribute divides connections and coordinators again after the set of live instances in the given regions has changed.
func (i *Instance) redistribute(regions []string) {
	<-i.initialized
	i.directory.Use(func(catalog *config.Catalog, primaries map[string]string) {
		i.databases.Configure(catalog, primaries, i.instanceCount())
	})
	for _, region := range regions {
		i.coordinators.Reconcile(region)
	}
}

// wait blocks until all components have stopped.
func (i *Instance) wait() {
	<-i.callers.Done()
	<-i.dispatcher.Done()
	i.allotments.wait()
	<-i.members.Done()
	<-i.redistributor.done
	<-i.directory.Done()
	<-i.freshness.Done()
	<-i.node.Done()
	<-i.health.done
	<-i.trimDone
	<-i.trafficDone
	<-i.handoverDone
	<-i.fetcher.done
	<-i.refresher.done
}

// Close stops the instance immediately, without draining, and waits until it has stopped.
func (i *Instance) Close() {
	i.cancel()
	i.wait()
}
