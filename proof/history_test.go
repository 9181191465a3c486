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

// The routes of the platform's configuration below.
var (
	mainRoute    = history.Route{Name: "main"}
	historyRoute = history.Route{Name: "history", MaxAge: 1500 * time.Millisecond}
	ownRoute     = history.Route{Name: "own", ReadYourWrites: true, MaxAge: 2500 * time.Millisecond}
)

const (
	// calm is how long a database works before the first fault: instances must have known its endpoints for 4 s.
	calm = 4500 * time.Millisecond
	// recovery is what the users' target gives a change of primary.
	recovery = 17 * time.Second
	items    = 12
	// sessionsEach is how many sessions each route has at once at each instance.
	sessionsEach = 2
)

// platform is a deployment of real instances on stand-ins in this process.
type platform struct {
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

func openPlatform(t *testing.T) *platform {
	t.Helper()
	p := &platform{t: t, stop: make(chan struct{})}
	var err error
	if p.store, err = hosting.NewStore(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.store.Close)
	p.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 2000, "priority": 1},
			{"name": "r2", "host": "history", "type": "bounded_staleness", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 1500},
			{"name": "r3", "host": "own", "type": "read_your_writes", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 2500},
		},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
	})
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
			i.Process.Thaw()
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

// use lets sessions of each route work at each instance until the platform is stopped.
func (p *platform) use(seed uint64) {
	for n := range p.instances {
		for _, route := range []history.Route{mainRoute, historyRoute, ownRoute} {
			for s := range sessionsEach {
				random := rand.New(rand.NewPCG(seed, uint64(100*n+10*s+len(route.Name))))
				p.running.Go(func() { p.work(n, route, random) })
			}
		}
	}
}

func (p *platform) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

// work opens one session after the other; each ends with its instance or after some statements.
func (p *platform) work(n int, route history.Route, random *rand.Rand) {
	for !p.stopped() {
		c, err := hosting.Dial(p.instances[n].Callers, route.Name)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		p.mu.Lock()
		p.sessions++
		s := &worker{platform: p, caller: c, route: route, random: random, name: fmt.Sprintf("s%d", p.sessions)}
		p.mu.Unlock()
		s.run()
		c.Close()
	}
}

// worker is one session.
type worker struct {
	platform *platform
	caller   *hosting.Caller
	route    history.Route
	random   *rand.Rand
	name     string
	count    int
	tx       int
}

func (w *worker) run() {
	if !w.do(history.Other, "SET owner "+w.name, "", false, 0) {
		return
	}
	for range 30 {
		if w.platform.stopped() {
			return
		}
		time.Sleep(time.Duration(w.random.IntN(15)) * time.Millisecond)
		item := fmt.Sprintf("i%d", w.random.IntN(items))
		whole := true
		switch w.random.IntN(6) {
		case 0:
			whole = w.do(history.Write, fmt.Sprintf("WRITE %s %s-%d", item, w.name, w.count), item, true, 0)
		case 1:
			whole = w.transaction(item)
		default:
			whole = w.do(history.Read, "READ "+item, item, false, 0)
		}
		if !whole {
			return
		}
	}
}

// transaction writes two items and reads between, and is rolled back as a whole when a statement fails.
func (w *worker) transaction(item string) bool {
	w.tx++
	if !w.do(history.Begin, "BEGIN", "", false, w.tx) {
		return false
	}
	statements := []string{
		fmt.Sprintf("WRITE %s %s-%d", item, w.name, w.count), "READ " + item, fmt.Sprintf("WRITE other-%s %s-%d", item, w.name, w.count),
	}
	for _, text := range statements {
		if !w.do(history.TransactionStatement, text, item, strings.HasPrefix(text, "WRITE"), w.tx) {
			return false
		}
		if w.last().Result.Code != "" {
			return w.do(history.Other, "ROLLBACK", "", false, 0)
		}
	}
	return w.do(history.Commit, "COMMIT", "", true, w.tx)
}

func (w *worker) last() history.Operation {
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	for n := len(w.platform.operations) - 1; ; n-- {
		if o := w.platform.operations[n]; o.Session == w.name {
			return o
		}
	}
}

// do runs a statement, keeps what was seen of it, and reports whether the session goes on.
func (w *worker) do(kind history.Kind, text, item string, writes bool, tx int) bool {
	w.count++
	o := history.Operation{
		Session: w.name, Route: w.route, ID: fmt.Sprintf("%s-%d", w.name, w.count), Kind: kind, Transaction: tx, Writes: writes, Item: item,
		Sent: time.Now(),
	}
	var err error
	if o.Result, err = w.caller.Query(o.ID, text); err != nil {
		o.Result.Code = history.NoAnswer
	}
	o.Answered = time.Now()
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	w.platform.operations = append(w.platform.operations, o)
	return err == nil && (kind != history.Other || o.Result.Code == "")
}

// acknowledged counts the writes that were.
func (p *platform) acknowledged() int {
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

// fault is one step of a schedule.
type fault struct {
	after time.Duration
	name  string
	which int
}

// faults are what may happen; each gets a number to choose with.
var faults = map[string]func(p *platform, which int){
	"kill an instance": func(p *platform, which int) {
		i := p.instances[which%len(p.instances)]
		i.Process.Thaw()
		i.Process.Kill()
		if err := i.Start(); err != nil {
			p.t.Error(err)
		}
	},
	"freeze an instance": func(p *platform, which int) {
		i := p.instances[which%len(p.instances)]
		i.Process.Freeze()
		p.running.Go(func() {
			time.Sleep(1500 * time.Millisecond)
			i.Process.Thaw()
		})
	},
	"crash the primary": func(p *platform, _ int) {
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
	"make a replica deaf": func(p *platform, which int) { p.group.Members()[which%3].SetReceiveBlocked(true) },
	"let all hear":        func(p *platform, _ int) { p.hear() },
	"isolate the primary": func(p *platform, _ int) {
		if e := p.group.Primary(); e != nil {
			e.SetSendBlocked(true)
		}
	},
	"lose answers": func(p *platform, which int) { p.group.Members()[which%3].LoseAnswers(3) },
	"store down":   func(p *platform, _ int) { p.store.SetFaults(hosting.StoreFaults{Down: true}) },
	"store silent": func(p *platform, _ int) { p.store.SetFaults(hosting.StoreFaults{Silent: true}) },
	"store loses":  func(p *platform, _ int) { p.store.SetFaults(hosting.StoreFaults{LoseCommits: 3}) },
	"store back":   func(p *platform, _ int) { p.store.SetFaults(hosting.StoreFaults{}) },
	"promotion late": func(p *platform, _ int) {
		p.promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 1, Delay: 900 * time.Millisecond})
	},
	"promotion down":     func(p *platform, _ int) { p.promotion.SetFaults(hosting.PromotionFaults{Down: true}) },
	"promotion back":     func(p *platform, _ int) { p.promotion.SetFaults(hosting.PromotionFaults{}) },
	"history is dropped": func(p *platform, _ int) { p.store.DropHistory() },
	"primary is leaving": func(p *platform, _ int) {
		if e := p.group.Primary(); e != nil {
			e.Drain()
		}
	},
}

func (p *platform) hear() {
	for _, e := range p.group.Members() {
		e.SetReceiveBlocked(false)
		e.SetSendBlocked(false)
	}
}

// schedules generates faults with the time that passes before each.
var schedules = rapid.Custom(func(t *rapid.T) []fault {
	all := slices.Sorted(maps.Keys(faults))
	step := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			after: time.Duration(rapid.IntRange(20, 1500).Draw(t, "ms")) * time.Millisecond,
			name:  rapid.SampledFrom(all).Draw(t, "fault"), which: rapid.IntRange(0, 2).Draw(t, "which"),
		}
	})
	return rapid.SliceOfN(step, 3, 8).Draw(t, "schedule")
})

// TestHistory runs generated schedules of faults against real instances and checks everything that callers and endpoints
// saw. SISKINCOVE_SCHEDULES asks for more than the usual number, SISKINCOVE_SCHEDULE for another first one.
func TestHistory(t *testing.T) {
	for n := range environment("SISKINCOVE_SCHEDULES", 4) {
		seed := environment("SISKINCOVE_SCHEDULE", 1) + n
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			playSchedule(t, seed)
		})
	}
}

func environment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func playSchedule(t *testing.T, seed int) {
	p := openPlatform(t)
	p.use(uint64(seed))
	time.Sleep(calm)
	schedule := schedules.Example(seed)
	for _, f := range schedule {
		time.Sleep(f.after)
		faults[f.name](p, f.which)
	}
	time.Sleep(time.Second)
	p.store.SetFaults(hosting.StoreFaults{})
	p.promotion.SetFaults(hosting.PromotionFaults{})
	p.hear()
	before := p.acknowledged()
	back := false
	for end := time.Now().Add(recovery); time.Now().Before(end) && !back; time.Sleep(20 * time.Millisecond) {
		back = p.acknowledged() > before+50
	}
	close(p.stop)
	p.running.Wait()
	h := history.History{Operations: p.operations, Runs: p.group.Runs(), Log: p.group.Log()}
	broken := history.Check(h)
	t.Logf("schedule %v: %d operations, %d runs, %d commits, %d promotions", names(schedule), len(h.Operations), len(h.Runs), len(h.Log), p.group.Promotions())
	for _, line := range broken[:min(len(broken), 10)] {
		t.Error(line)
	}
	if !back {
		t.Errorf("writes do not go on within %s", recovery)
	}
	if t.Failed() {
		for _, i := range p.instances {
			t.Logf("%s", tail(i.Log(), 40))
		}
	}
}

func names(schedule []fault) []string {
	out := make([]string, 0, len(schedule))
	for _, f := range schedule {
		out = append(out, fmt.Sprintf("%s: %s (%d)", f.after, f.name, f.which))
	}
	return out
}
