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

// Store is the platform's store of rows and objects.
type Store interface {
	store.Rows
	store.Objects
}

// Instance is the running proxy of this process, for PostgreSQL callers: it holds all components and the listeners.
type Instance struct {
	settings    settings.Settings
	clock       clock.Service
	logger      *event.Logger
	cancel      context.CancelFunc
	initialized chan struct{}
	node        *peer.Node
	members     *member.Driver
	roster      *member.Roster
	// pools holds the pools of the endpoints that this instance owns, that is, opens the connections to.
	pools        *pool.Owner
	revisions    *revision.Tracker
	coordinators *coordinator.Set[*failover.Coordinator]
	// entry is the front end: it speaks the PostgreSQL protocol with callers.
	entry        *entry.Server
	health       *health
	certificates certificateStores
}

// listeners are the listening sockets of an instance.
type listeners struct {
	callers net.Listener
	peers   net.Listener
	health  net.Listener
}

// ListenError is returned if the instance can't listen on an address. Key is the key of the address in the settings.
type ListenError struct {
	Key   string
	Cause error
}

// Error returns the message of the cause.
func (e *ListenError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// listen opens all listeners, or none if it fails.
func listen(s settings.Listen) (listeners, error) {
	var l listeners
	var err error
	if l.callers, err = net.Listen("tcp", s.Callers); err != nil {
		return l, &ListenError{Key: "listen.callers", Cause: err}
	}
	if l.peers, err = net.Listen("tcp", s.Peers); err != nil {
		l.close()
		return l, &ListenError{Key: "listen.peers", Cause: err}
	}
	if l.health, err = net.Listen("tcp", s.Health); err != nil {
		l.close()
		return l, &ListenError{Key: "listen.health", Cause: err}
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.health} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// New starts an instance. It runs until ctx is cancelled or until Shutdown or Close. The error is a *ListenError or a
// *CertificateError.
func New(ctx context.Context, s settings.Settings, clk clock.Service, logger *event.Logger, platformStore Store) (*Instance, error) {
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	certs, err := openCertificates(ctx, s.TLS, clk, logger)
	if err != nil {
		cancel()
		l.close()
		return nil, err
	}
	i := &Instance{settings: s, certificates: certs, clock: clk, logger: logger, cancel: cancel, initialized: make(chan struct{})}
	address := s.Listen.Advertise
	if address == "" {
		address = l.peers.Addr().String()
	}
	i.node = peer.New(ctx, peer.Options{
		Listener: l.peers, Self: address, Handler: i, Logger: logger,
		Connector: peer.Connector{Proxy: s.Listen.Proxy, Domain: s.Instance.Domain, TLS: certs.peerConfig()},
	})
	i.start(ctx, l, address, platformStore)
	close(i.initialized)
	logger.Log(event.Started, log.Fields{
		"instance": s.Instance.ID, "domain": s.Instance.Domain, "callers": l.callers.Addr().String(), "peers": address,
	})
	return i, nil
}

func (i *Instance) start(ctx context.Context, l listeners, address string, platformStore Store) {
	s := i.settings
	self := member.Instance{
		ID: s.Instance.ID, Address: address, Domain: s.Instance.Domain, Incarnation: uint64(i.clock.Now().UnixNano()),
	}
	callbacks := &deferredCallbacks{instance: i}
	i.revisions = revision.New(ctx, revision.Options{
		Clock: i.clock, Logger: i.logger, Rows: platformStore, Objects: platformStore, Dialer: i.node, Self: self.ID, ShouldPoll: callbacks.isPoller, Apply: callbacks.applyCatalog,
	})
	i.roster = member.NewRoster(platformStore, self, i.logger)
	i.members = member.New(ctx, member.Options{
		Self: self, Clock: i.clock, Logger: i.logger, Dialer: i.node, Roster: i.roster,
		Revisions: i.revisions, OnChange: callbacks.membersChanged, OnDeath: i.node.Drop,
	})
	client := pool.NewClient(i.node, i.members)
	i.pools = pool.NewOwner(ctx, pool.OwnerOptions{
		Domain: s.Instance.Domain, Interval: s.Failover.Interval.Std(), Clock: i.clock, Logger: i.logger,
		Client: client, Ownership: i.members, Vendors: []endpoint.Vendor{postgres.Vendor{}, managed.Vendor{}},
		TLSConfig: i.certificates.endpointConfig(),
	})
	i.coordinators = coordinator.New(ctx, coordinator.Options[*failover.Coordinator]{
		Self: s.Instance.ID, Members: i.members, Count: failover.Coordinators,
		Start: func(ctx context.Context, d config.Database, endpoints []config.Endpoint) *failover.Coordinator {
			return failover.New(ctx, failover.Options{
				ID: s.Instance.ID, Interval: s.Failover.Interval.Std(), Clock: i.clock, Logger: i.logger,
				Timing: failover.Timing{MinDuration: s.Failover.Silence.Std(), Stagger: s.Failover.Stagger.Std()},
				Owners: client, Rows: platformStore, Ranking: i.coordinators,
			}, d.Name, endpoints)
		},
	})
	i.entry = entry.New(ctx, l.callers, entry.Options{
		ID: s.Instance.ID, Domain: s.Instance.Domain, Keys: sessionTokenKeys(s.Token), Clock: i.clock, Logger: i.logger,
		Owners: client, Catalogs: i.revisions, OnOwnerUnreachable: i.probeOwner, ForwardCancel: i.forwardCancel,
		TLS: i.certificates.callerConfig(), TLSRequired: s.TLS.Required, IdleTimeout: transactionIdleTimeout,
	})
	i.health = newHealth(ctx, l.health, i)
}

func sessionTokenKeys(t settings.Token) [][]byte {
	out := make([][]byte, 0, len(t.Keys))
	for _, key := range t.Keys {
		out = append(out, []byte(key))
	}
	return out
}

// probeOwner requests an early heartbeat to the owner of an endpoint, after a stream to it has failed.
func (i *Instance) probeOwner(e config.Endpoint) {
	if address, ok := i.members.Owner(e); ok {
		i.members.ProbeSoon(address)
	}
}

// deferredCallbacks are the callbacks of components that start before the components they call. Each one blocks until the
// instance is initialized.
type deferredCallbacks struct {
	instance *Instance
}

// pollersPerDomain is how many instances of a failure domain poll the store for new revisions; the others learn of them
// from peers.
const pollersPerDomain = 2

// isPoller reports whether this instance is one of the pollers of its failure domain. The ranking depends only on the key
// and the known instances, so that instances with the same view of the others agree on the pollers without messages.
func (d *deferredCallbacks) isPoller() bool {
	<-d.instance.initialized
	own := d.instance.settings.Instance
	for _, poller := range d.instance.members.HighestRanked("poller/"+own.Domain, own.Domain, pollersPerDomain) {
		if poller.ID == own.ID {
			return true
		}
	}
	return false
}

// applyCatalog applies a catalog to the pools and coordinators. With the first one it logs that the instance is ready.
func (d *deferredCallbacks) applyCatalog(catalog *config.Catalog, first bool) {
	<-d.instance.initialized
	if first {
		d.instance.logger.Log(event.Ready, log.Fields{"instance": d.instance.settings.Instance.ID})
	}
	d.instance.entry.EndWithdrawn()
	d.instance.pools.Configure(catalog)
	d.instance.coordinators.Configure(catalog)
}

// membersChanged redistributes pools and coordinators after the set of live instances in a region has changed; "" means
// all regions.
func (d *deferredCallbacks) membersChanged(region string) {
	<-d.instance.initialized
	d.instance.pools.Reconcile(region)
	d.instance.coordinators.Reconcile(region)
}

// transactionIdleTimeout is how long a transaction may occupy a slot while its caller sends nothing.
const transactionIdleTimeout = time.Minute

// drainDelay is how long the instance still accepts new callers after it has become unready, so that a load balancer can
// notice.
const drainDelay = 300 * time.Millisecond

// Shutdown shuts the instance down gracefully: it becomes unready, tells its peers that it leaves, removes its row from the
// store, finishes the requests in flight, hands its endpoints over to other instances and stops. If ctx ends first, it
// returns the number of requests that were cut off, and an error if its pools were still in use.
func (i *Instance) Shutdown(ctx context.Context) (int64, error) {
	i.logger.Log(event.Stopping, log.Fields{"instance": i.settings.Instance.ID})
	i.health.setShuttingDown()
	_ = clock.Wait(ctx, i.clock, drainDelay)
	i.coordinators.Stop()
	i.members.Leave(ctx)
	i.deregister(ctx)
	remaining := i.entry.Drain(ctx)
	err := i.pools.Drain(ctx)
	i.cancel()
	i.wait()
	if remaining > 0 || err != nil {
		i.logger.Log(event.ForcedStop, log.Fields{"instance": i.settings.Instance.ID, "inflight": remaining})
		return remaining, errors.Wrap(err, "draining connection pools")
	}
	i.logger.Log(event.Stopped, log.Fields{"instance": i.settings.Instance.ID})
	return 0, nil
}

// deregisterTimeout bounds removing the instance's row from the store.
const deregisterTimeout = 300 * time.Millisecond

// deregister removes the instance's row from the store's list of instances.
func (i *Instance) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := i.roster.Deregister(ctx); err != nil {
		i.logger.Log(event.RosterFailed, log.Fields{"error": err.Error()})
	}
}

// wait blocks until all components have stopped.
func (i *Instance) wait() {
	<-i.entry.Done()
	<-i.members.Done()
	<-i.revisions.Done()
	<-i.node.Done()
	<-i.health.done
}

// Close stops the instance immediately, without draining, and waits until it has stopped.
func (i *Instance) Close() {
	i.cancel()
	i.wait()
}
