package proof

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/standin/cluster"
	"siskincove/standin/history"
	"siskincove/standin/hosting"
)

// Routes of the configuration that startPlatformCluster writes.
var (
	mainRoute    = history.Route{Name: "main"}
	historyRoute = history.Route{Name: "history", MaxAge: 1500 * time.Millisecond}
	ownRoute     = history.Route{Name: "own", ReadYourWrites: true, MaxAge: 2500 * time.Millisecond}
)

const (
	// settleTime passes before the first fault; instances replace a primary only after knowing the endpoints for 4 s.
	settleTime = 4500 * time.Millisecond
	// recoveryLimit is the users' target for the duration of a failover.
	recoveryLimit = 17 * time.Second
	itemCount     = 12
	// sessionsPerRoute is the number of concurrent sessions on each route at each instance.
	sessionsPerRoute = 2
)

// platformCluster runs instances as processes, and the platform's stand-ins in the process of the test. It records the
// operations of its sessions.
type platformCluster struct {
	t         *testing.T
	store     *hosting.Store
	group     *hosting.Group
	promotion *hosting.Promotion
	instances []*cluster.HostedInstance

	mu         sync.Mutex
	operations []history.Operation
	sessions   int
	stop       chan struct{}
	running    sync.WaitGroup
}

func startPlatformCluster(t *testing.T) *platformCluster {
	t.Helper()
	return startPlatformClusterWith(t, platformConfiguration())
}

// platformConfiguration returns a configuration with a route of each kind.
func platformConfiguration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 2000, "priority": 1},
			{"name": "r2", "host": "history", "type": "bounded_staleness", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 1500},
			{"name": "r3", "host": "own", "type": "read_your_writes", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 2500},
		},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
	}
}

func startPlatformClusterWith(t *testing.T, configuration map[string]any) *platformCluster {
	t.Helper()
	p := &platformCluster{t: t, stop: make(chan struct{})}
	var err error
	if p.store, err = hosting.NewStore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.store.Close)
	p.store.Write("op", "config", configuration)
	p.group, err = hosting.NewGroup(p.store, hosting.Options{
		Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: 60, Work: 2 * time.Millisecond,
		ApplyLag: 40 * time.Millisecond, PromotionDelay: 150 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.group.Close)
	if p.promotion, err = hosting.NewPromotion(p.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.promotion.Close)
	p.instances, err = cluster.StartHosted(cluster.HostedOptions{
		Binaries: binaries, Directory: t.TempDir(), Store: p.store.Address(), Promotion: p.promotion.Address(), Zones: []string{"a", "b", "c"},
	})
	t.Cleanup(func() {
		for _, i := range p.instances {
			i.Process.Resume()
			i.Process.Kill()
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range p.instances {
		if !eventually(i.Ready) {
			t.Fatalf("instance is not ready:\n%s", tail(i.Log(), 30))
		}
	}
	return p
}

// startSessions starts sessions on each route at each instance, which run until stop is closed.
func (p *platformCluster) startSessions(seed uint64) {
	for n := range p.instances {
		for _, route := range []history.Route{mainRoute, historyRoute, ownRoute} {
			for s := range sessionsPerRoute {
				random := rand.New(rand.NewPCG(seed, uint64(100*n+10*s+len(route.Name))))
				p.running.Go(func() { p.runSessions(n, route, anyKey, random) })
			}
		}
	}
}

func (p *platformCluster) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// anyKey is what sessions present where no workspaces are configured.
const anyKey = "u"

// runSessions runs one session with the key after the other, each until it fails or has run its number of statements.
func (p *platformCluster) runSessions(n int, route history.Route, key string, random *rand.Rand) {
	for !p.stopped() {
		c, err := hosting.DialWithKey(p.instances[n].Callers, route.Name, key)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.mu.Lock()
		p.sessions++
		s := &worker{cluster: p, caller: c, key: key, route: route, random: random, name: fmt.Sprintf("s%d", p.sessions)}
		p.mu.Unlock()
		s.run()
		c.Close()
	}
}

// worker runs the statements of one session.
type worker struct {
	cluster      *platformCluster
	caller       *hosting.Caller
	key          string
	route        history.Route
	random       *rand.Rand
	name         string
	statements   int
	transactions int
}

func (w *worker) run() {
	if !w.execute(history.Other, "SET owner "+w.name, "", false, 0) {
		return
	}
	for range 30 {
		if w.cluster.stopped() {
			return
		}
		time.Sleep(time.Duration(w.random.IntN(15)) * time.Millisecond)
		item := fmt.Sprintf("i%d", w.random.IntN(itemCount))
		open := true
		switch w.random.IntN(6) {
		case 0:
			open = w.execute(history.Write, fmt.Sprintf("WRITE %s %s-%d", item, w.name, w.statements), item, true, 0)
		case 1:
			open = w.transaction(item)
		default:
			open = w.execute(history.Read, "READ "+item, item, false, 0)
		}
		if !open {
			return
		}
	}
}

// transaction writes two items with a read in between, and rolls back if a statement fails. It reports whether the session
// can go on.
func (w *worker) transaction(item string) bool {
	w.transactions++
	if !w.execute(history.Begin, "BEGIN", "", false, w.transactions) {
		return false
	}
	statements := []string{
		fmt.Sprintf("WRITE %s %s-%d", item, w.name, w.statements), "READ " + item, fmt.Sprintf("WRITE other-%s %s-%d", item, w.name, w.statements),
	}
	for _, text := range statements {
		if !w.execute(history.TransactionStatement, text, item, strings.HasPrefix(text, "WRITE"), w.transactions) {
			return false
		}
		if w.lastOperation().Result.Code != "" {
			return w.execute(history.Other, "ROLLBACK", "", false, 0)
		}
	}
	return w.execute(history.Commit, "COMMIT", "", true, w.transactions)
}

func (w *worker) lastOperation() history.Operation {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	for n := len(w.cluster.operations) - 1; ; n-- {
		if o := w.cluster.operations[n]; o.Session == w.name {
			return o
		}
	}
}

// execute runs a statement, records its result and reports whether the session can go on.
func (w *worker) execute(kind history.Kind, text, item string, writes bool, tx int) bool {
	w.statements++
	o := history.Operation{
		Session: w.name, Key: w.key, Route: w.route, ID: fmt.Sprintf("%s-%d", w.name, w.statements), Kind: kind, Transaction: tx, Writes: writes, Item: item,
		Sent: time.Now(),
	}
	var err error
	if o.Result, err = w.caller.Query(o.ID, text); err != nil {
		o.Result.Code = history.NoAnswer
	}
	o.Answered = time.Now()
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.cluster.operations = append(w.cluster.operations, o)
	return err == nil && (kind != history.Other || o.Result.Code == "")
}

// acknowledgedWrites returns the number of writes and commits that were acknowledged.
func (p *platformCluster) acknowledgedWrites() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, o := range p.operations {
		if o.Result.Code == "" && (o.Kind == history.Write || o.Kind == history.Commit) {
			n++
		}
	}
	return n
}

// fault is one step of a schedule. Its target selects the instance or endpoint, modulo their number.
type fault struct {
	after  time.Duration
	name   string
	target int
}

// faults holds the functions that inject or clear each fault.
var faults = map[string]func(p *platformCluster, target int){
	"kill an instance": func(p *platformCluster, target int) {
		i := p.instances[target%len(p.instances)]
		i.Process.Resume()
		i.Process.Kill()
		if err := i.Start(); err != nil {
			p.t.Error(err)
		}
	},
	"freeze an instance": func(p *platformCluster, target int) {
		i := p.instances[target%len(p.instances)]
		i.Process.Suspend()
		p.running.Go(func() {
			time.Sleep(1500 * time.Millisecond)
			i.Process.Resume()
		})
	},
	"crash the primary": func(p *platformCluster, _ int) {
		if e := p.group.Primary(); e != nil {
			e.Crash()
			p.running.Go(func() {
				time.Sleep(3 * time.Second)
				if err := e.Restart(); err != nil {
					p.t.Error(err)
				}
			})
		}
	},
	"make a replica stop receiving": func(p *platformCluster, target int) { p.group.Members()[target%3].SetReceiveBlocked(true) },
	"let all receive":               func(p *platformCluster, _ int) { p.restoreReplication() },
	"isolate the primary": func(p *platformCluster, _ int) {
		if e := p.group.Primary(); e != nil {
			e.SetSendBlocked(true)
		}
	},
	"lose answers":        func(p *platformCluster, target int) { p.group.Members()[target%3].LoseAnswers(3) },
	"store down":          func(p *platformCluster, _ int) { p.store.SetFaults(hosting.StoreFaults{Down: true}) },
	"store silent":        func(p *platformCluster, _ int) { p.store.SetFaults(hosting.StoreFaults{Silent: true}) },
	"store loses answers": func(p *platformCluster, _ int) { p.store.SetFaults(hosting.StoreFaults{LoseCommits: 3}) },
	"store back":          func(p *platformCluster, _ int) { p.store.SetFaults(hosting.StoreFaults{}) },
	"promotion late": func(p *platformCluster, _ int) {
		p.promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 1, Delay: 900 * time.Millisecond})
	},
	"promotion down":     func(p *platformCluster, _ int) { p.promotion.SetFaults(hosting.PromotionFaults{Down: true}) },
	"promotion back":     func(p *platformCluster, _ int) { p.promotion.SetFaults(hosting.PromotionFaults{}) },
	"history is dropped": func(p *platformCluster, _ int) { p.store.DropHistory() },
	"primary is leaving": func(p *platformCluster, _ int) {
		if e := p.group.Primary(); e != nil {
			e.Drain()
		}
	},
}

func (p *platformCluster) restoreReplication() {
	for _, e := range p.group.Members() {
		e.SetReceiveBlocked(false)
		e.SetSendBlocked(false)
	}
}

// schedules generates faults, each with the delay before it.
var schedules = rapid.Custom(func(t *rapid.T) []fault {
	all := slices.Sorted(maps.Keys(faults))
	step := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			after: time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond,
			name:  rapid.SampledFrom(all).Draw(t, "fault"), target: rapid.IntRange(0, 2).Draw(t, "which"),
		}
	})
	return rapid.SliceOfN(step, 3, 8).Draw(t, "schedule")
})

// TestHistory runs generated schedules of faults and checks the history of what callers and endpoints saw.
// SISKINCOVE_SCHEDULES sets the number of schedules and SISKINCOVE_SCHEDULE the seed of the first one.
func TestHistory(t *testing.T) {
	for n := range envInt("SISKINCOVE_SCHEDULES", 4) {
		seed := envInt("SISKINCOVE_SCHEDULE", 1) + n
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			runSchedule(t, seed)
		})
	}
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func runSchedule(t *testing.T, seed int) {
	p := startPlatformCluster(t)
	p.startSessions(uint64(seed))
	time.Sleep(settleTime)
	schedule := schedules.Example(seed)
	for _, f := range schedule {
		time.Sleep(f.after)
		faults[f.name](p, f.target)
	}
	time.Sleep(time.Second)
	p.store.SetFaults(hosting.StoreFaults{})
	p.promotion.SetFaults(hosting.PromotionFaults{})
	p.restoreReplication()
	before := p.acknowledgedWrites()
	recovered := false
	for end := time.Now().Add(recoveryLimit); time.Now().Before(end) && !recovered; time.Sleep(20 * time.Millisecond) {
		recovered = p.acknowledgedWrites() > before+50
	}
	close(p.stop)
	p.running.Wait()
	h := history.History{Operations: p.operations, Runs: p.group.Runs(), Log: p.group.Log()}
	violations := history.Check(h)
	t.Logf("schedule %v: %d operations, %d runs, %d commits, %d promotions", describe(schedule), len(h.Operations), len(h.Runs), len(h.Log), p.group.Promotions())
	for _, line := range violations[:min(len(violations), 10)] {
		t.Error(line)
	}
	if !recovered {
		t.Errorf("writes did not resume within %s", recoveryLimit)
	}
	if t.Failed() {
		for _, i := range p.instances {
			t.Logf("%s", tail(i.Log(), 40))
		}
	}
}

func describe(schedule []fault) []string {
	out := make([]string, 0, len(schedule))
	for _, f := range schedule {
		out = append(out, fmt.Sprintf("%s: %s (%d)", f.after, f.name, f.target))
	}
	return out
}
