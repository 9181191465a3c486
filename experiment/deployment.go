package experiment

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/load"
	"siskincove/standin/cluster"
)

const (
	callerName = "operator"
	password   = "experiment"
	// defaultWorkTime is how long a statement occupies its slot at the stand-in.
	defaultWorkTime = time.Millisecond
	readyTimeout    = time.Minute
)

// Deployment describes the sizes and delays of a user's deployment. DomainDelay and RegionDelay are one-way network delays
// between failure domains and between regions; ConnectDelay is the delay of each new connection.
type Deployment struct {
	Name         string
	Service      string
	Regions      []string
	Databases    []string
	Slots        int
	Connections  int
	ConnectDelay time.Duration
	DomainDelay  time.Duration
	RegionDelay  time.Duration
	Mix          load.Mix
}

// Kelloviisari is the certificate issuer's deployment.
var Kelloviisari = Deployment{
	Name: "kelloviisari", Service: "certstore", Regions: []string{"fi-south", "se-east", "de-north"},
	Databases: []string{"cert1", "cert2", "cert3"}, Slots: 5, Connections: 80, ConnectDelay: 12 * time.Millisecond,
	DomainDelay: 1500 * time.Microsecond, RegionDelay: 8 * time.Millisecond, Mix: load.Kelloviisari,
}

// Pwani is the gear registry's deployment.
var Pwani = Deployment{
	Name: "pwani", Service: "gear-ledger", Regions: []string{"kilifi", "lamu", "kwale"},
	Databases: []string{"gear1", "gear2", "gear3"}, Slots: 3, Connections: 90, ConnectDelay: 25 * time.Millisecond,
	DomainDelay: 500 * time.Microsecond, RegionDelay: 20 * time.Millisecond, Mix: load.Pwani,
}

// ParseDeployment returns the deployment with the given name.
func ParseDeployment(name string) (Deployment, error) {
	for _, d := range []Deployment{Kelloviisari, Pwani} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Newf("unknown deployment %q", name)
}

// domains returns the failure domains of n instances or endpoints, one domain in each region.
func (d Deployment) domains(n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, d.Regions[i%len(d.Regions)]+"/a")
	}
	return out
}

// Variant holds the settings that differ between runs.
type Variant struct {
	Name string
	// Reads is where the main routes read: replica or primary.
	Reads string
	// Settings is appended to the settings file of every instance.
	Settings string
	// ApplyLag and ReceiveLag are the lags of the replicas.
	ApplyLag   time.Duration
	ReceiveLag time.Duration
	// Age is the staleness that history routes allow.
	Age time.Duration
	// Leaving is the set of endpoints that are declared as leaving.
	Leaving map[string]bool
}

// RunningDeployment is a started deployment.
type RunningDeployment struct {
	*cluster.Cluster
	deployment Deployment
	variant    Variant
	directory  string
	revision   uint64
}

// Start starts a deployment with a number of instances, publishes its configuration and waits until it can be used.
func Start(ctx context.Context, d Deployment, v Variant, instances int) (*RunningDeployment, error) {
	return startWithWork(ctx, d, v, instances, defaultWorkTime)
}

// startWithWork is like Start, but lets each statement occupy its slot for the given time.
func startWithWork(ctx context.Context, d Deployment, v Variant, instances int, work time.Duration) (*RunningDeployment, error) {
	directory, err := makeTempDir()
	if err != nil {
		return nil, err
	}
	s := &RunningDeployment{deployment: d, variant: v, directory: directory}
	if err := cluster.Build(".", directory); err != nil {
		return nil, err
	}
	o := s.clusterOptions(instances)
	for i := range o.Groups {
		o.Groups[i].Work = work
	}
	s.Cluster, err = cluster.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := s.Publish(v); err != nil {
		s.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := s.WaitUsable(ctx, s.revision); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *RunningDeployment) clusterOptions(instances int) cluster.Options {
	d, v := s.deployment, s.variant
	o := cluster.Options{
		Binaries: s.directory, Directory: s.directory, Domains: d.domains(instances),
		Link: true, BetweenDomains: d.DomainDelay, BetweenRegions: d.RegionDelay, Settings: v.Settings,
	}
	for i, name := range d.Databases {
		domains := d.domains(len(d.Regions))
		// The primaries are spread over the regions.
		rotated := append(domains[i%len(domains):len(domains):len(domains)], domains[:i%len(domains)]...)
		vendor := "postgres"
		if i%2 == 1 {
			vendor = "managed"
		}
		o.Groups = append(o.Groups, cluster.Group{
			Database: name, Vendor: vendor, Domains: rotated, Slots: d.Slots, Connections: d.Connections, ConnectDelay: d.ConnectDelay,
			Work: defaultWorkTime, BetweenDomains: d.DomainDelay, BetweenRegions: d.RegionDelay, ReceiveLag: v.ReceiveLag, ApplyLag: v.ApplyLag,
		})
	}
	return o
}

// Publish publishes the configuration of a variant.
func (s *RunningDeployment) Publish(v Variant) error {
	text, err := s.ObjectsTOML(cluster.Objects{
		Service: s.deployment.Service, Caller: callerName, Password: password, Age: v.Age, Reads: v.Reads,
		Deadline: 3 * time.Second, Leaving: v.Leaving,
	})
	if err != nil {
		return err
	}
	if _, err := s.Cluster.Publish(text); err != nil {
		return err
	}
	s.revision++
	return nil
}

// Close stops the deployment and removes its files.
func (s *RunningDeployment) Close() {
	s.Stop()
	_ = os.RemoveAll(s.directory)
}

// LoadOptions returns the options of a load on the deployment.
func (s *RunningDeployment) LoadOptions(rate float64, duration time.Duration, seed uint64) load.Options {
	o := load.Options{
		Addresses: s.Callers(), Caller: callerName, Password: password, Service: s.deployment.Service, Mix: s.deployment.Mix,
		Rate: rate, Duration: duration, Sessions: 60, Roam: 0.2, Timeout: 15 * time.Second, Seed: seed,
	}
	for _, i := range s.Instances {
		o.Health = append(o.Health, i.Health)
	}
	for _, name := range s.deployment.Databases {
		o.Main = append(o.Main, name)
		o.History = append(o.History, fmt.Sprintf("%s-history", name))
	}
	return o
}
