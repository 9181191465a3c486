package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"siskincove/standin/history"
	"siskincove/standin/hosting"
)

const (
	// settleTime passes before the first fault, since instances replace a primary only after they have known the endpoints for 4 s.
	settleTime = 4500 * time.Millisecond
	// recoveryLimit is the users' target for the duration of a failover, and applyLimit theirs for a configuration.
	recoveryLimit = 17 * time.Second
	applyLimit    = 5 * time.Second
	// recoveredWrites is how many writes have to be acknowledged after the last fault.
	recoveredWrites = 50
	// leastSeries is how many series of faults run side by side, and instancesPerSeries for how many instances there is one more.
	leastSeries        = 2
	instancesPerSeries = 10
	minPause           = 20 * time.Millisecond
	maxPause           = 1500 * time.Millisecond
	// minCompoundPause and maxCompoundPause bound the pauses between compound faults.
	minCompoundPause = time.Second
	maxCompoundPause = 10 * time.Second
	progressInterval = 5 * time.Second
	// linkBytesPerSecond is the capacity of an instance's link.
	linkBytesPerSecond = 10_000_000 / 8
)

// Options configure a run.
type Options struct {
	// Seed determines the series of faults and what sessions send.
	Seed uint64
	// Duration is how long faults are injected.
	Duration  time.Duration
	Instances int
	// Binaries is the directory of the built programs, Directory that of the report, which must exist.
	Binaries, Directory string
	// Previous, if set, is the directory of the programs of another build. Instances start with these, and with those of the other build
	// each time they are started again.
	Previous string
	// Progress gets a line every few seconds; nil for none.
	Progress io.Writer
}

// Series returns the faults of a seed as series that run side by side.
func Series(seed uint64, duration time.Duration, instances int) [][]Fault {
	var out [][]Fault
	for n := range leastSeries + instances/instancesPerSeries {
		out = append(out, drawSeries(rand.New(rand.NewPCG(seed, uint64(n))), duration, FaultNames(), minPause, maxPause))
	}
	failing := rand.New(rand.NewPCG(seed, uint64(len(out))))
	out = append(out, drawSeries(failing, duration, []string{failRequests}, failingTime, 3*failingTime))
	compound := rand.New(rand.NewPCG(seed, compoundStream))
	return append(out, drawSeries(compound, duration, CompoundFaultNames(), minCompoundPause, maxCompoundPause))
}

// compoundStream is the stream of random numbers for compound faults; those of the other series are numbered from 0.
const compoundStream = 1 << 32

// drawSeries draws faults for a duration, with a pause before each.
func drawSeries(random *rand.Rand, duration time.Duration, names []string, shortest, longest time.Duration) []Fault {
	var out []Fault
	for at := time.Duration(0); at < duration; {
		after := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		at += after
		out = append(out, Fault{After: after, Name: names[random.IntN(len(names))], Target: random.IntN(1 << 16)})
	}
	return out
}

// Run runs a soak and returns its report. An error means that the soak itself failed, not that a check did.
func Run(ctx context.Context, o Options) (Report, error) {
	report := Report{Seed: o.Seed, Duration: o.Duration, Instances: o.Instances, Previous: o.Previous, Started: time.Now()}
	work := filepath.Join(o.Directory, "work")
	if err := os.MkdirAll(work, 0o700); err != nil {
		return report, err
	}
	zones := make([]string, o.Instances)
	for n := range zones {
		zones[n] = string("abc"[n%3])
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := StartDeployment(ctx, DeploymentOptions{
		Binaries: o.Binaries, Previous: o.Previous, Directory: work, Zones: zones, Configuration: hosting.Configuration(hosting.FirstVersion),
		Links: true, Bandwidth: linkBytesPerSecond * o.Instances,
	})
	if err != nil {
		d.Close()
		return report, err
	}
	defer d.Close()
	d.StartSessions(o.Seed)
	time.Sleep(settleTime)
	injector := NewInjector(d)
	report.Series = Series(o.Seed, o.Duration, o.Instances)
	var injecting sync.WaitGroup
	for _, series := range report.Series {
		injecting.Go(func() { injector.injectAll(ctx, series) })
	}
	waitWithProgress(ctx, d, o)
	injecting.Wait()
	report.check(d, injector)
	if !report.Passed() {
		err = d.SaveLogs(o.Directory)
	}
	return report, err
}

// injectAll injects a series, unless ctx ends before.
func (i *Injector) injectAll(ctx context.Context, series []Fault) {
	for _, f := range series {
		select {
		case <-ctx.Done():
			return
		case <-time.After(f.After):
		}
		i.Inject(f)
	}
}

func waitWithProgress(ctx context.Context, d *Deployment, o Options) {
	end := time.After(o.Duration)
	for {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case <-time.After(progressInterval):
			if o.Progress != nil {
				_, _ = fmt.Fprintf(o.Progress, "seed %d: %d writes acknowledged\n", o.Seed, d.AcknowledgedWrites())
			}
		}
	}
}

// check clears the faults and checks that writes and the newest configuration come back, and what was seen meanwhile.
func (r *Report) check(d *Deployment, i *Injector) {
	i.Clear()
	before := d.AcknowledgedWrites()
	if !within(recoveryLimit, func() bool { return d.AcknowledgedWrites() > before+recoveredWrites }) {
		r.fail("writes did not resume within %s", recoveryLimit)
	}
	i.grow(smallGrowth)
	for _, instance := range d.Instances {
		if !within(applyLimit, func() bool { return serves(instance.Callers, versionRoute(i.version)) }) {
			r.fail("%s does not serve version %d of the configuration within %s", instance.ID(), i.version, applyLimit)
		}
	}
	d.StopSessions()
	h := d.History()
	if d.Group.Primary() == nil {
		r.fail("no endpoint leads, so that the history can't be checked")
	} else {
		for _, line := range history.Check(h) {
			r.fail("%s", line)
		}
	}
	for _, err := range i.Errors() {
		r.fail("%s", err)
	}
	for _, instance := range d.Instances {
		if instance.Process.Exited() {
			r.fail("%s has ended by itself", instance.ID())
		}
		if strings.Contains(instance.Log(), "event=113 ") {
			r.fail("%s has contained a panic", instance.ID())
		}
	}
	r.Injected = i.Injected()
	r.Runs, r.Commits, r.Promotions = len(h.Runs), len(h.Log), d.Group.Promotions()
	r.summarize(h.Operations)
}

func within(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(readyPoll) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// serves reports whether an instance accepts a session on a route.
func serves(address, route string) bool {
	c, err := hosting.DialWithKey(address, route, AnyKey)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
