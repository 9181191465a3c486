package instance

import (
	"context"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/coordinator"
	"siskincove/endpoint"
	"siskincove/endpoint/managed"
	"siskincove/endpoint/postgres"
	"siskincove/entry"
	"siskincove/event"
	"siskincove/failover"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/pool"
	"siskincove/revision"
	"siskincove/settings"
	"siskincove/store"
)

// Store is the platform's store as an instance uses it.
type Store interface {
	store.Rows
	store.Objects
}

// Instance is one running instance.
type Instance struct {
	settings     settings.Settings
	clock        clock.Service
	logger       *event.Logger
	cancel       context.CancelFunc
	wired        chan struct{}
	node         *peer.Node
	members      *member.Driver
	roster       *member.Roster
	owner        *pool.Owner
	follower     *revision.Follower
	coordinators *coordinator.Set[*failover.Coordinator]
	entry        *entry.Entry
	health       *health
	secured      secured
}

// listeners are the sockets of an instance.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	health  net.Listener
}

// ListenError is a listening address that can't be had.
type ListenError struct {
	Key   string
	Cause error
}

// Error names the cause.
func (e *ListenError) Error() string { return e.Cause.Error() }

func listen(s settings.Listen) (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", s.Callers); err != nil {
		return l, &ListenError{Key: "listen.callers", Cause: err}
	}
	if l.peers, err = net.Listen("tcp", s.Peers); err != nil {
		return l, &ListenError{Key: "listen.peers", Cause: err}
	}
	if l.health, err = net.Listen("tcp", s.Health); err != nil {
		return l, &ListenError{Key: "listen.health", Cause: err}
	}
	return l, nil
}

// New starts an instance; it ends with ctx, or gracefully by Leave.
func New(ctx context.Context, s settings.Settings, service clock.Service, logger *event.Logger, kept Store) (*Instance, error) {
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	secured, err := openSecured(ctx, s.TLS, service, logger)
	if err != nil {
		cancel()
		return nil, err
	}
	i := &Instance{settings: s, secured: secured, clock: service, logger: logger, cancel: cancel, wired: make(chan struct{})}
	address := s.Listen.Advertise
	if address == "" {
		address = l.peers.Addr().String()
	}
	i.node = peer.New(ctx, peer.Options{
		Listener: l.peers, Self: address, Handler: i, Logger: logger,
		Connector: peer.Connector{Proxy: s.Listen.Proxy, Domain: s.Instance.Domain, TLS: secured.mutual()},
	})
	i.start(ctx, l, address, kept)
	close(i.wired)
	logger.Log(event.Started, log.Fields{
		"instance": s.Instance.ID, "domain": s.Instance.Domain, "callers": l.callers.Addr().String(), "peers": address,
	})
	return i, nil
}

func (i *Instance) start(ctx context.Context, l listeners, address string, kept Store) {
	s := i.settings
	self := member.Instance{
		ID: s.Instance.ID, Address: address, Domain: s.Instance.Domain, Incarnation: uint64(i.clock.Now().UnixNano()),
	}
	late := &lateParts{instance: i}
	i.follower = revision.New(ctx, revision.Options{
		Clock: i.clock, Logger: i.logger, Rows: kept, Objects: kept, Dialer: i.node, Polls: late.polls, Apply: late.apply,
	})
	i.roster = member.NewRoster(kept, self, i.logger)
	i.members = member.New(ctx, member.Options{
		Self: self, Clock: i.clock, Logger: i.logger, Dialer: i.node, Roster: i.roster,
		Revisions: i.follower, Changed: late.changed, Drop: i.node.Drop,
	})
	client := pool.NewClient(i.node, i.members)
	i.owner = pool.NewOwner(ctx, pool.OwnerOptions{
		Domain: s.Instance.Domain, Interval: s.Failover.Interval.Std(), Clock: i.clock, Logger: i.logger,
		Client: client, Ownership: i.members, Vendors: []endpoint.Vendor{postgres.Vendor{}, managed.Vendor{}},
		TLSConfig: i.secured.towardsEndpoints(),
	})
	i.coordinators = coordinator.New(ctx, coordinator.Options[*failover.Coordinator]{
		Self: s.Instance.ID, Members: i.members, Count: failover.Coordinators,
		Start: func(ctx context.Context, d config.Database, members []config.Endpoint) *failover.Coordinator {
			return failover.New(ctx, failover.Options{
				ID: s.Instance.ID, Interval: s.Failover.Interval.Std(), Clock: i.clock, Logger: i.logger,
				Timing: failover.Timing{Silence: s.Failover.Silence.Std(), Stagger: s.Failover.Stagger.Std()},
				Owners: client, Rows: kept, Ranking: i.coordinators,
			}, d.Name, members)
		},
	})
	i.entry = entry.New(ctx, l.callers, entry.Options{
		ID: s.Instance.ID, Domain: s.Instance.Domain, Keys: keys(s.Token), Clock: i.clock, Logger: i.logger,
		Owners: client, Catalogs: i.follower, Doubt: i.doubt, Forward: i.forward,
		TLS: i.secured.towardsCallers(), Required: s.TLS.Required, Idle: idleLimit,
	})
	i.health = newHealth(ctx, l.health, i)
}

func keys(t settings.Token) [][]byte {
	out := make([][]byte, 0, len(t.Keys))
	for _, key := range t.Keys {
		out = append(out, []byte(key))
	}
	return out
}

// doubt asks for a heartbeat to the owner of an endpoint where a stream failed.
func (i *Instance) doubt(e config.Endpoint) {
	if address, ok := i.members.Owner(e); ok {
		i.members.ProbeSoon(address)
	}
}

// lateParts lets parts that start first call those that start later, once all are wired.
type lateParts struct {
	instance *Instance
}

const pollersPerDomain = 2

// polls reports whether this instance ranks among the pollers of its failure domain.
func (l *lateParts) polls() bool {
	<-l.instance.wired
	own := l.instance.settings.Instance
	for _, other := range l.instance.members.Near("poller/"+own.Domain, own.Domain, pollersPerDomain) {
		if other.ID == own.ID {
			return true
		}
	}
	return false
}

func (l *lateParts) apply(catalog *config.Catalog, first bool) {
	<-l.instance.wired
	if first {
		l.instance.logger.Log(event.Ready, log.Fields{"instance": l.instance.settings.Instance.ID})
	}
	l.instance.owner.Configure(catalog)
	l.instance.coordinators.Configure(catalog)
}

func (l *lateParts) changed(region string) {
	<-l.instance.wired
	l.instance.owner.Reconcile(region)
	l.instance.coordinators.Reconcile(region)
}

// idleLimit is how long a transaction may hold its slot while its caller sends nothing.
const idleLimit = time.Minute

// noticeTime is how long the instance goes on serving new callers after it is no longer ready, so that a balancer sees it.
const noticeTime = 300 * time.Millisecond

// Leave takes the instance out gracefully: it is no longer ready, tells its peers, hands over its endpoints, finishes
// what is in flight and ends. It returns how many requests were cut off when ctx ended first.
func (i *Instance) Leave(ctx context.Context) (int64, error) {
	i.logger.Log(event.Stopping, log.Fields{"instance": i.settings.Instance.ID})
	i.health.leave()
	_ = clock.Wait(ctx, i.clock, noticeTime)
	i.coordinators.Leave()
	i.members.Leave(ctx)
	i.unlist(ctx)
	left := i.entry.Drain(ctx)
	err := i.owner.Leave(ctx)
	i.cancel()
	i.wait()
	if left > 0 || err != nil {
		i.logger.Log(event.ForcedStop, log.Fields{"instance": i.settings.Instance.ID, "inflight": left})
		return left, errors.Wrap(err, "drain limit")
	}
	i.logger.Log(event.Stopped, log.Fields{"instance": i.settings.Instance.ID})
	return 0, nil
}

// farewellTime is what removing the instance's row from the store may take.
const farewellTime = 300 * time.Millisecond

// unlist removes the instance's row from the list.
func (i *Instance) unlist(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, farewellTime)
	defer cancel()
	if err := i.roster.Leave(ctx); err != nil {
		i.logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
	}
}

// wait returns when every part has ended.
func (i *Instance) wait() {
	<-i.entry.Done()
	<-i.members.Done()
	<-i.follower.Done()
	<-i.node.Done()
	<-i.health.done
}

// Close ends the instance at once.
func (i *Instance) Close() {
	i.cancel()
	i.wait()
}
