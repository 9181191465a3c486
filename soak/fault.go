package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/standin/hosting"
)

const (
	freezeTime = 1500 * time.Millisecond
	crashTime  = 3 * time.Second
	// drainTime is how long a leaving endpoint serves before another takes its place, which the settings of the instances promise.
	drainTime = 7 * time.Second
	cutTime   = 2 * time.Second
	// failingShare is the share of its requests that an endpoint fails for failingTime.
	failingShare = 0.45
	failingTime  = 2 * time.Second
	// largeGrowth and smallGrowth are how many routes a change of the configuration adds.
	largeGrowth = 1400
	smallGrowth = 3
	// forcedStop is in the line that an instance logs if it cuts off sessions when it stops.
	forcedStop = "event=103 "
)

// Fault is a step of a schedule. Target selects the instance or endpoint, modulo their number.
type Fault struct {
	After  time.Duration
	Name   string
	Target int
}

// faults holds what injects or clears each fault.
var faults = map[string]func(i *Injector, target int){
	"kill an instance":              (*Injector).kill,
	"stop an instance":              (*Injector).terminate,
	"freeze an instance":            (*Injector).freeze,
	"change the settings":           (*Injector).reload,
	"change the configuration":      func(i *Injector, _ int) { i.grow(smallGrowth) },
	"grow the configuration":        func(i *Injector, _ int) { i.grow(largeGrowth) },
	"cut a link one way":            (*Injector).cut,
	"crash the primary":             func(i *Injector, _ int) { i.crashPrimary() },
	"make a replica stop receiving": func(i *Injector, target int) { i.endpoint(target).SetReceiveBlocked(true) },
	"let all receive":               func(i *Injector, _ int) { i.restoreReplication() },
	"isolate the primary": func(i *Injector, _ int) {
		if e := i.deployment.Group.Primary(); e != nil {
			e.SetSendBlocked(true)
		}
	},
	"lose answers": func(i *Injector, target int) { i.endpoint(target).LoseAnswers(3) },
	"store down":   func(i *Injector, _ int) { i.deployment.Store.SetFaults(hosting.StoreFaults{Down: true}) },
	"store silent": func(i *Injector, _ int) { i.deployment.Store.SetFaults(hosting.StoreFaults{Silent: true}) },
	"store slow": func(i *Injector, _ int) {
		i.deployment.Store.SetFaults(hosting.StoreFaults{Slow: 200 * time.Millisecond})
	},
	"store loses answers": func(i *Injector, _ int) { i.deployment.Store.SetFaults(hosting.StoreFaults{LoseCommits: 3}) },
	"store back":          func(i *Injector, _ int) { i.deployment.Store.SetFaults(hosting.StoreFaults{}) },
	"promotion late": func(i *Injector, _ int) {
		i.deployment.Promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 1, Delay: 900 * time.Millisecond})
	},
	"promotion down":     func(i *Injector, _ int) { i.deployment.Promotion.SetFaults(hosting.PromotionFaults{Down: true}) },
	"promotion back":     func(i *Injector, _ int) { i.deployment.Promotion.SetFaults(hosting.PromotionFaults{}) },
	"history is dropped": func(i *Injector, _ int) { i.deployment.Store.DropHistory() },
	"primary is leaving": func(i *Injector, _ int) { i.replacePrimary() },
}

// compoundFaults hold what disturbs several parts of a deployment at once. They are drawn for a series of their own, so that the
// other series of a seed stay as they are.
var compoundFaults = map[string]func(i *Injector, target int){
	"kill all instances":                               func(i *Injector, _ int) { i.running.Go(i.killAll) },
	"crash the primary and then a replica":             (*Injector).crashInTurn,
	"lose a replica, the other one receives nothing":   (*Injector).loseReplica,
	"write an entry that does not come from endpoints": (*Injector).writeEntry,
}

// failRequests is the fault of an endpoint that fails a part of its requests. It has a series of its own, so that the seeds from before
// it existed keep their schedules.
const failRequests = "fail requests"

// FaultNames returns the names of all faults of single parts but failRequests, in order.
func FaultNames() []string { return slices.Sorted(maps.Keys(faults)) }

// CompoundFaultNames returns the names of all faults of several parts, in order.
func CompoundFaultNames() []string { return slices.Sorted(maps.Keys(compoundFaults)) }

// Injector injects faults into a deployment.
type Injector struct {
	deployment *Deployment
	// running are the faults that end by themselves.
	running sync.WaitGroup
	// held has a lock for each instance, so that faults of one instance do not overlap.
	held []sync.Mutex
	// losing is locked while a replica is lost and not yet replaced.
	losing sync.Mutex
	// renamed counts the endpoints that have returned under another id.
	renamed atomic.Int32

	mu       sync.Mutex
	errs     []error
	injected map[string]int
	version  int
	routes   int
}

// NewInjector returns an injector for a deployment that has been started with the first version of the configuration.
func NewInjector(d *Deployment) *Injector {
	return &Injector{
		deployment: d, held: make([]sync.Mutex, len(d.Instances)), injected: make(map[string]int), version: hosting.FirstVersion,
	}
}

// Inject injects a fault and returns at once.
func (i *Injector) Inject(f Fault) {
	i.mu.Lock()
	i.injected[f.Name]++
	i.mu.Unlock()
	if f.Name == failRequests {
		i.failRequests(f.Target)
		return
	}
	inject, single := faults[f.Name]
	if !single {
		inject = compoundFaults[f.Name]
	}
	inject(i, f.Target)
}

// Injected returns how often each fault was injected.
func (i *Injector) Injected() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return maps.Clone(i.injected)
}

// Errors returns what went wrong outside the instances, such as a program that did not start.
func (i *Injector) Errors() []error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.errs)
}

func (i *Injector) record(err error) {
	if err == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errs = append(i.errs, err)
}

// alone runs f in the background, unless another fault of the instance has not ended.
func (i *Injector) alone(target int, f func(n int)) {
	n := target % len(i.held)
	if !i.held[n].TryLock() {
		return
	}
	i.running.Go(func() {
		defer i.held[n].Unlock()
		f(n)
	})
}

func (i *Injector) kill(target int) {
	i.alone(target, func(n int) {
		i.deployment.Instances[n].Process.Kill()
		i.start(n)
	})
}

// terminate stops an instance as planned and starts it again. A stop that cuts off sessions at the drain limit, which the instance logs, is
// no error, as an endpoint may not answer meanwhile.
func (i *Injector) terminate(target int) {
	i.alone(target, func(n int) {
		instance := i.deployment.Instances[n]
		before := len(instance.Log())
		err := instance.Process.Terminate()
		if written := instance.Log(); err != nil && !strings.Contains(written[min(before, len(written)):], forcedStop) {
			i.record(errors.Wrapf(err, "stopping %s", instance.ID()))
		}
		i.start(n)
	})
}

// start starts an instance that has ended, from the programs of the other build if there are two.
func (i *Injector) start(n int) {
	instance := i.deployment.Instances[n]
	if builds := i.deployment.builds; len(builds) > 1 {
		instance.SetBinaries(builds[(slices.Index(builds, instance.Binaries())+1)%len(builds)])
	}
	i.record(instance.Start())
}

func (i *Injector) freeze(target int) {
	i.alone(target, func(n int) {
		i.deployment.Instances[n].Process.Suspend()
		time.Sleep(freezeTime)
		i.deployment.Instances[n].Process.Resume()
	})
}

func (i *Injector) reload(target int) {
	i.alone(target, func(n int) { i.deployment.Instances[n].Process.Signal(syscall.SIGHUP) })
}

// grow publishes a configuration with more routes.
func (i *Injector) grow(routes int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.version++
	i.routes += routes
	i.deployment.Store.Write("op", "config", i.configuration())
}

// configuration returns the current configuration; i.mu must be held. Its newest route is named after its version.
func (i *Injector) configuration() map[string]any {
	names := []string{versionRoute(i.version)}
	for n := range i.routes {
		names = append(names, fmt.Sprintf("extra%d", n))
	}
	return hosting.Configuration(i.version, names...)
}

func versionRoute(version int) string { return fmt.Sprintf("version%d", version) }

// cut closes the links from the failure domain of one instance to that of the next, for some time.
func (i *Injector) cut(target int) {
	links, domains := i.deployment.Links, i.deployment.Domains
	if links == nil {
		return
	}
	from, to := domains[target%len(domains)], domains[(target+1)%len(domains)]
	links.Cut(from, to, true)
	i.running.Go(func() {
		time.Sleep(cutTime)
		links.Cut(from, to, false)
	})
}

func (i *Injector) endpoint(target int) *hosting.Endpoint {
	all := i.deployment.Group.Members()
	return all[target%len(all)]
}

// failRequests lets an endpoint fail a part of its requests for some time.
func (i *Injector) failRequests(target int) {
	e := i.endpoint(target)
	e.SetFailing(failingShare)
	i.running.Go(func() {
		time.Sleep(failingTime)
		e.SetFailing(0)
	})
}

func (i *Injector) crashPrimary() {
	e := i.deployment.Group.Primary()
	if e == nil {
		return
	}
	e.Crash()
	i.running.Go(func() {
		time.Sleep(crashTime)
		i.record(e.Restart())
	})
}

// replacePrimary lets the primary leave and another endpoint take its place with its log.
func (i *Injector) replacePrimary() {
	e := i.deployment.Group.Primary()
	if e == nil {
		return
	}
	e.Drain()
	i.running.Go(func() {
		time.Sleep(drainTime)
		e.Crash()
		i.record(e.Restart())
		e.Return()
	})
}

func (i *Injector) restoreReplication() {
	for _, e := range i.deployment.Group.Members() {
		e.SetReceiveBlocked(false)
		e.SetSendBlocked(false)
	}
}

// Clear waits for the faults that end by themselves and ends the others.
func (i *Injector) Clear() {
	i.running.Wait()
	i.deployment.Store.SetFaults(hosting.StoreFaults{})
	i.deployment.Promotion.SetFaults(hosting.PromotionFaults{})
	i.restoreReplication()
}
