package soak

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/standin/cluster"
	"siskincove/standin/history"
	"siskincove/standin/hosting"
	"siskincove/standin/link"
)

// Routes of hosting.Configuration.
var (
	MainRoute    = history.Route{Name: "main"}
	HistoryRoute = history.Route{Name: "history", MaxAge: 1500 * time.Millisecond}
	OwnRoute     = history.Route{Name: "own", ReadYourWrites: true, MaxAge: 2500 * time.Millisecond}
)

const (
	region       = "region"
	readyTimeout = 20 * time.Second
	readyPoll    = 20 * time.Millisecond
	// promotionDelay is how long a promotion takes, unless a fault makes it longer.
	promotionDelay = 150 * time.Millisecond
)

// Programs returns the names of the programs that a deployment starts.
func Programs() []string { return []string{"siskincoved", "standin"} }

// DeploymentOptions configure a deployment.
type DeploymentOptions struct {
	// Binaries is the directory of the built programs, Directory the one for settings and logs.
	Binaries, Directory string
	// Previous, if set, is the directory of the programs of another build, with which the instances start.
	Previous string
	// Zones are the failure domains of the instances, one instance for each.
	Zones []string
	// Configuration is the operator's first configuration.
	Configuration map[string]any
	// Links, if set, connects the instances through a proxy whose links can be cut.
	Links bool
	// OwnStores, if set, lets each instance reach the store at an address of its own, to which faults can be restricted.
	OwnStores bool
	// Bandwidth is how many bytes a second all links carry together, in equal shares for each failure domain; 0 for no limit.
	Bandwidth int
}

// Deployment runs instances as processes and the platform's stand-ins in this process. It records the operations of its
// sessions.
type Deployment struct {
	Store     *hosting.Store
	Group     *hosting.Group
	Promotion *hosting.Promotion
	Instances []*cluster.HostedInstance
	// Links connects the instances; nil if they are connected directly.
	Links *link.Proxy
	// Domains are the failure domains of the instances, each once.
	Domains []string
	// Stores are the addresses at which the instances reach the store; empty if all use the same.
	Stores []string

	listener net.Listener
	// builds are the directories of the programs, of one or two builds; the instances start with those of the first.
	builds []string

	mu         sync.Mutex
	operations []history.Operation
	sessions   int
	stop       chan struct{}
	running    sync.WaitGroup
}

// StartDeployment starts a deployment and waits until its instances are ready. On error the caller still has to close it.
func StartDeployment(ctx context.Context, o DeploymentOptions) (*Deployment, error) {
	d := &Deployment{stop: make(chan struct{}), builds: []string{o.Binaries}}
	if o.Previous != "" {
		d.builds = []string{o.Previous, o.Binaries}
	}
	for _, zone := range o.Zones {
		if domain := region + "/" + zone; !slices.Contains(d.Domains, domain) {
			d.Domains = append(d.Domains, domain)
		}
	}
	var err error
	if d.Store, err = hosting.NewStore(); err != nil {
		return d, err
	}
	d.Store.Write("op", "config", o.Configuration)
	d.Group, err = hosting.NewGroup(d.Store, hosting.Options{
		Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: 60, Work: 2 * time.Millisecond,
		ApplyLag: 40 * time.Millisecond, PromotionDelay: promotionDelay,
	})
	if err != nil {
		return d, err
	}
	if d.Promotion, err = hosting.NewPromotion(d.Group); err != nil {
		return d, err
	}
	hosted := cluster.HostedOptions{
		Binaries: d.builds[0], Directory: o.Directory, Store: d.Store.Address(), Promotion: d.Promotion.Address(), Zones: o.Zones,
	}
	if o.OwnStores {
		if err = d.listenStores(len(o.Zones)); err != nil {
			return d, err
		}
		hosted.Stores = d.Stores
	}
	if o.Links {
		if hosted.Proxy, err = d.startLinks(ctx, o.Bandwidth); err != nil {
			return d, err
		}
	}
	if d.Instances, err = cluster.StartHosted(hosted); err != nil {
		return d, err
	}
	if d.Links != nil {
		for n, i := range d.Instances {
			d.Links.SetDomain(i.Peers, region+"/"+o.Zones[n])
		}
	}
	return d, d.awaitReady()
}

// listenStores serves the store at an address for each instance.
func (d *Deployment) listenStores(instances int) error {
	for range instances {
		address, err := d.Store.Listen()
		if err != nil {
			return errors.Wrap(err, "listening for the store")
		}
		d.Stores = append(d.Stores, address)
	}
	return nil
}

// startLinks serves the proxy between instances and returns its address.
func (d *Deployment) startLinks(ctx context.Context, bandwidth int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listening for links")
	}
	d.listener = listener
	d.Links = link.NewProxy(func(a, b string) time.Duration {
		if a == b {
			return 0
		}
		return time.Millisecond
	})
	for _, domain := range d.Domains {
		if bandwidth > 0 {
			d.Links.SetBandwidth(domain, link.NewBandwidth(bandwidth/len(d.Domains)))
		}
	}
	go d.Links.Serve(ctx, listener)
	return listener.Addr().String(), nil
}

func (d *Deployment) awaitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(readyPoll) {
		ready := 0
		for _, i := range d.Instances {
			if i.Ready() {
				ready++
			}
		}
		if ready == len(d.Instances) {
			return nil
		}
		if time.Now().After(end) {
			return errors.Newf("%d of %d instances are ready after %s", ready, len(d.Instances), readyTimeout)
		}
	}
}

// Close ends the processes and the stand-ins.
func (d *Deployment) Close() {
	for _, i := range d.Instances {
		i.Process.Resume()
		i.Process.Kill()
	}
	if d.listener != nil {
		_ = d.listener.Close()
	}
	if d.Promotion != nil {
		d.Promotion.Close()
	}
	if d.Group != nil {
		d.Group.Close()
	}
	if d.Store != nil {
		d.Store.Close()
	}
}

// Run runs f until StopSessions waits for it.
func (d *Deployment) Run(f func()) { d.running.Go(f) }

// StopSessions ends the sessions and waits for them and for what Run runs.
func (d *Deployment) StopSessions() {
	close(d.stop)
	d.running.Wait()
}

// Stopped reports whether the sessions are to end.
func (d *Deployment) Stopped() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// History returns what callers and endpoints have seen.
func (d *Deployment) History() history.History {
	d.mu.Lock()
	defer d.mu.Unlock()
	return history.History{Operations: d.operations, Runs: d.Group.Runs(), Log: d.Group.Log()}
}

// AcknowledgedWrites returns the number of writes and commits that were acknowledged.
func (d *Deployment) AcknowledgedWrites() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, o := range d.operations {
		if o.Result.Code == "" && (o.Kind == history.Write || o.Kind == history.Commit) {
			n++
		}
	}
	return n
}

// SaveLogs copies the logs of the instances to a directory.
func (d *Deployment) SaveLogs(directory string) error {
	for _, i := range d.Instances {
		if err := os.WriteFile(filepath.Join(directory, i.ID()+".log"), []byte(i.Log()), 0o600); err != nil {
			return errors.Wrap(err, "saving log")
		}
	}
	return nil
}
