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
	caller   = "operator"
	password = "experiment"
	// workTime is how long a statement occupies its slot at the stand-in.
	workTime     = time.Millisecond
	readyTimeout = time.Minute
)

// Deployment is a user's sizes and delays.
type Deployment struct {
	Name        string
	Service     string
	Regions     []string
	Databases   []string
	Slots       int
	Connections int
	Cost        time.Duration
	Within      time.Duration
	Between     time.Duration
	Mix         load.Mix
}

// Kelloviisari is the certificate issuer's deployment.
var Kelloviisari = Deployment{
	Name: "kelloviisari", Service: "certstore", Regions: []string{"fi-south", "se-east", "de-north"},
	Databases: []string{"cert1", "cert2", "cert3"}, Slots: 5, Connections: 80, Cost: 12 * time.Millisecond,
	Within: 1500 * time.Microsecond, Between: 8 * time.Millisecond, Mix: load.Kelloviisari,
}

// Pwani is the gear registry's deployment.
var Pwani = Deployment{
	Name: "pwani", Service: "gear-ledger", Regions: []string{"kilifi", "lamu", "kwale"},
	Databases: []string{"gear1", "gear2", "gear3"}, Slots: 3, Connections: 90, Cost: 25 * time.Millisecond,
	Within: 500 * time.Microsecond, Between: 20 * time.Millisecond, Mix: load.Pwani,
}

// Parse returns the deployment called name.
func Parse(name string) (Deployment, error) {
	for _, d := range []Deployment{Kelloviisari, Pwani} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errors.Newf("no deployment is called %q", name)
}

// domains returns the failure domains of n instances or endpoints, one domain in each region.
func (d Deployment) domains(n int) []string {
	out := make([]string, 0, n)
	for i := range n {
		out = append(out, d.Regions[i%len(d.Regions)]+"/a")
	}
	return out
}

// Variant is what is changed from run to run.
type Variant struct {
	Name string
	// Reads is where main routes read: replica or primary.
	Reads string
	// Settings is added to every instance's settings file.
	Settings string
	// ApplyLag and ReceiveLag are the replicas' lags.
	ApplyLag   time.Duration
	ReceiveLag time.Duration
	// Age is the allowance of the history routes.
	Age time.Duration
	// Leaving are endpoints to declare leaving.
	Leaving map[string]bool
}

// Site is a started deployment.
type Site struct {
	*cluster.Cluster
	deployment Deployment
	variant    Variant
	directory  string
	revision   uint64
}

// Open starts a deployment with a number of instances and puts its objects in force.
func Open(ctx context.Context, d Deployment, v Variant, instances int) (*Site, error) {
	return openSite(ctx, d, v, instances, workTime)
}

// openSite starts a deployment whose statements occupy their slots for the given time.
func openSite(ctx context.Context, d Deployment, v Variant, instances int, work time.Duration) (*Site, error) {
	directory, err := temporary()
	if err != nil {
		return nil, err
	}
	s := &Site{deployment: d, variant: v, directory: directory}
	if err := cluster.Build(".", directory); err != nil {
		return nil, err
	}
	o := s.options(instances)
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

func (s *Site) options(instances int) cluster.Options {
	d, v := s.deployment, s.variant
	o := cluster.Options{
		Binaries: s.directory, Directory: s.directory, Domains: d.domains(instances),
		Link: true, BetweenDomains: d.Within, BetweenRegions: d.Between, Settings: v.Settings,
	}
	for i, name := range d.Databases {
		domains := d.domains(len(d.Regions))
		// Primaries start in different regions.
		rotated := append(domains[i%len(domains):len(domains):len(domains)], domains[:i%len(domains)]...)
		vendor := "postgres"
		if i%2 == 1 {
			vendor = "managed"
		}
		o.Groups = append(o.Groups, cluster.Group{
			Database: name, Vendor: vendor, Domains: rotated, Slots: d.Slots, Connections: d.Connections, ConnectDelay: d.Cost,
			Work: workTime, BetweenDomains: d.Within, BetweenRegions: d.Between, ReceiveLag: v.ReceiveLag, ApplyLag: v.ApplyLag,
		})
	}
	return o
}

// Publish puts the objects of a variant in force.
func (s *Site) Publish(v Variant) error {
	text, err := s.ObjectsTOML(cluster.Objects{
		Service: s.deployment.Service, Caller: caller, Password: password, Age: v.Age, Reads: v.Reads,
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

// Close ends the deployment and removes its files.
func (s *Site) Close() {
	s.Stop()
	_ = os.RemoveAll(s.directory)
}

// Load returns the options of a load on the site.
func (s *Site) Load(rate float64, duration time.Duration, seed uint64) load.Options {
	o := load.Options{
		Addresses: s.Callers(), Caller: caller, Password: password, Service: s.deployment.Service, Mix: s.deployment.Mix,
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
