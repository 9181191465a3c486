package hosted

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/document"
	"siskincove/standin/hosting"
)

// TestServes runs each kind of statement through an instance, on routes to the primary and to replicas.
func TestServes(t *testing.T) {
	d := newDeployment(t, 2)
	c := d.dial(0, "main")
	d.mustQuery(c, "q1", "SET zone utc")
	d.mustQuery(c, "q2", "PREPARE s1 WRITE shape")
	d.mustQuery(c, "q3", "EXEC s1 x one")
	d.mustQuery(c, "q4", "BEGIN")
	d.mustQuery(c, "q5", "WRITE y two")
	got := d.mustQuery(c, "q6", "READ y")
	d.mustQuery(c, "q7", "COMMIT")
	if diff := cmp.Diff([]string{"two"}, got.Rows); diff != "" {
		t.Error(diff)
	}
	// A session reads its own write at once, also where replicas lag.
	own := d.dial(1, "own")
	d.mustQuery(own, "q8", "WRITE z three")
	if diff := cmp.Diff([]string{"three"}, d.mustQuery(own, "q9", "READ z").Rows); diff != "" {
		t.Error(diff)
	}
	// The route with an allowance reads at replicas. A write must be visible there once it is older than the allowance.
	time.Sleep(50 * time.Millisecond)
	history := d.dial(1, "history")
	d.eventually("route history shows the write", func() bool { return d.mustQuery(history, "q10", "READ x").Rows[0] == "one" })
	if r, _ := c.Query("q11", "FLY"); r.Code != "BAD" || r.State != "I" {
		t.Errorf("unknown statement: %+v", r)
	}
	if _, err := hosting.Dial(d.addresses[0], "nobody"); err == nil {
		t.Error("session with an unknown database was accepted")
	}
	checkLog(t, d.group)
}

// checkLog checks that no request is in the group's log twice.
func checkLog(t *testing.T, g *hosting.Group) {
	t.Helper()
	seen := make(map[string]bool)
	for _, record := range g.Log() {
		for _, id := range record.Requests {
			if seen[id] {
				t.Errorf("request %s is in the log twice", id)
			}
			seen[id] = true
		}
	}
}

// writer sends numbered writes, each once, until it is stopped. It records the error code of each; an empty code means
// that the write was acknowledged.
type writer struct {
	mu      sync.Mutex
	results map[string]string
	stop    chan struct{}
	done    sync.WaitGroup
}

func (d *deployment) startWriter(n int) *writer {
	out, address := &writer{results: make(map[string]string), stop: make(chan struct{})}, d.addresses[n]
	out.done.Go(func() {
		var c *hosting.Caller
		for i := 0; ; i++ {
			select {
			case <-out.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if c == nil {
				c, _ = hosting.Dial(address, "main")
				if c == nil {
					continue
				}
			}
			id := fmt.Sprintf("w%d-%d", n, i)
			r, err := c.Query(id, "WRITE "+id+" v")
			if err != nil {
				r.Code, c = "UNSURE", nil
			}
			out.mu.Lock()
			out.results[id] = r.Code
			out.mu.Unlock()
		}
	})
	return out
}

func (w *writer) acknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, code := range w.results {
		if code == "" {
			n++
		}
	}
	return n
}

// checkWrites stops the writers and checks that every acknowledged write is in the log exactly once, every refused one
// not at all, and every other one at most once.
func (d *deployment) checkWrites(writers ...*writer) {
	d.t.Helper()
	for _, wr := range writers {
		close(wr.stop)
		wr.done.Wait()
	}
	logged := make(map[string]int)
	for _, record := range d.group.Log() {
		for _, id := range record.Requests {
			logged[id]++
		}
	}
	for _, wr := range writers {
		for id, code := range wr.results {
			refused := code != "" && code != "UNSURE" && code != "TIMEOUT"
			switch {
			case code == "" && logged[id] != 1:
				d.t.Errorf("acknowledged write %s is in the log %d times", id, logged[id])
			case refused && logged[id] != 0:
				d.t.Errorf("write %s was refused with %s but is in the log", id, code)
			case logged[id] > 1:
				d.t.Errorf("write %s of unknown outcome is in the log %d times", id, logged[id])
			}
		}
	}
}

func TestFailover(t *testing.T) {
	tests := map[string]func(d *deployment){
		"primary crashes": func(d *deployment) { d.group.Primary().Crash() },
		"primary crashes while a replica does not receive": func(d *deployment) {
			d.group.Members()[1].SetReceiveBlocked(true)
			time.Sleep(100 * time.Millisecond)
			d.group.Primary().Crash()
		},
		"primary is leaving":  func(d *deployment) { d.group.Primary().Drain() },
		"primary is isolated": func(d *deployment) { d.group.Primary().SetSendBlocked(true) },
		"store is down": func(d *deployment) {
			d.store.SetFaults(hosting.StoreFaults{Down: true})
			d.group.Primary().Crash()
		},
		"promotion takes effect late": func(d *deployment) {
			d.promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 1, Delay: 700 * time.Millisecond})
			d.group.Primary().Crash()
		},
		"promotion service is down for 1 s": func(d *deployment) {
			d.promotion.SetFaults(hosting.PromotionFaults{Down: true})
			d.group.Primary().Crash()
			time.Sleep(time.Second)
			d.promotion.SetFaults(hosting.PromotionFaults{})
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			lost := d.group.Primary()
			writers := []*writer{d.startWriter(0), d.startWriter(1), d.startWriter(2)}
			d.eventually("coordinators have reserved fencing tokens", func() bool {
				return len(d.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			fault(d)
			d.eventually("another endpoint is primary", func() bool {
				p := d.group.Primary()
				return p != nil && p != lost
			})
			for _, e := range d.group.Members() {
				e.SetReceiveBlocked(false)
			}
			before := writers[0].acknowledged()
			d.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			for _, e := range d.group.Members() {
				d.eventually("replicas are released from their holds", func() bool { return e.HeldTerm() == 0 || e == lost })
			}
			d.checkWrites(writers...)
			holders := make(map[uint64]string)
			for _, request := range d.promotion.Requests() {
				if holder, used := holders[request.Fence]; used && holder != request.Holder {
					t.Errorf("instances %s and %s both used fencing token %d", holder, request.Holder, request.Fence)
				}
				holders[request.Fence] = request.Holder
			}
		})
	}
}

// TestLostAnswers guards against reporting a wrong outcome for a write whose answer from the endpoint is lost.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	writers := []*writer{d.startWriter(0), d.startWriter(1)}
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		d.group.Primary().LoseAnswers(1)
	}
	d.eventually("writes are acknowledged", func() bool { return writers[0].acknowledged() > 30 })
	d.checkWrites(writers...)
}

// TestShutdown guards against losing requests when an instance shuts down while callers use it: every request must be
// answered, and every session ended within the limit.
func TestShutdown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	idle, open, busy := d.dial(0, "main"), d.dial(0, "main"), d.dial(0, "main")
	d.mustQuery(open, "q1", "BEGIN")
	d.mustQuery(open, "q2", "WRITE x one")
	remaining := make(chan int, 1)
	go func() { remaining <- d.instances[0].Shutdown(6 * time.Second) }()
	d.eventually("instance is no longer ready", func() bool { return !d.instances[0].health.ready() })
	for i := range 20 {
		d.mustQuery(busy, fmt.Sprintf("b%d", i), "READ x")
	}
	d.mustQuery(open, "q3", "COMMIT")
	// A request sent while the session is being ended is refused as not run, and the session is closed.
	d.eventually("sessions end", func() bool {
		r, err := busy.Query("b", "WRITE y two")
		return err != nil || r.Code == "BUSY"
	})
	if r, err := idle.Receive(); err != nil || r.Code != "BUSY" {
		t.Errorf("idle session received %+v, %v, want BUSY", r, err)
	}
	select {
	case n := <-remaining:
		if n != 0 {
			t.Errorf("%d sessions were still open at the limit", n)
		}
	case <-time.After(6 * time.Second):
		t.Error("instance did not shut down within its limit")
	}
}

// TestStartWithoutStore guards against an instance that can't start during an outage of the store: it must get the
// directory from a peer.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.store.SetFaults(hosting.StoreFaults{Down: true})
	first := d.instances[0].options.Settings.Listen.Peers
	late := d.startWithSeeds(1, first)
	d.eventually("ready with the directory of a peer", late.health.ready)
	d.mustQuery(d.dial(1, "main"), "q1", "WRITE x one")
}

// TestConfiguration checks that instances apply a new configuration version, including the removal of a route, and keep
// it when the next version can't be decoded.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	c := d.dial(0, "main")
	d.store.Write("op", "config", map[string]any{
		"version": 9, "routes": []map[string]any{{"name": "r", "host": "other", "type": "primary", "service": "g", "timeout-ms": 900}},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
	})
	d.eventually("new route served", func() bool {
		_, err := hosting.Dial(d.addresses[1], "other")
		return err == nil
	})
	d.eventually("removed route refused", func() bool {
		r, _ := c.Query("q1", "READ x")
		return r.Code == "NODB"
	})
	d.store.DropHistory()
	d.store.WriteRaw("op", "config", []byte("{"))
	d.mustQuery(d.dial(0, "other"), "q2", "READ x")
}

// TestInvalidRegistration guards against losing valid endpoints because another registration can't be decoded.
func TestInvalidRegistration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.store.WriteRaw("servers", "i-g-9", []byte{0xff, 0x00})
	d.store.Write("servers", "i-g-8", map[string]any{"service": 7, "state": "ready"})
	c := d.dial(0, "main")
	for i := range 20 {
		d.mustQuery(c, fmt.Sprintf("q%d", i), "READ x")
		time.Sleep(100 * time.Millisecond)
	}
}

// TestMetrics checks that /metrics and /status are served.
func TestMetrics(t *testing.T) {
	d := newDeployment(t, 1)
	d.mustQuery(d.dial(0, "main"), "q1", "WRITE x one")
	for _, path := range []string{"/metrics", "/status"} {
		r, err := http.Get("http://" + d.instances[0].options.Settings.Listen.Metrics + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			t.Errorf("%s: %s", path, r.Status)
		}
	}
}

// TestReload checks that changed regions and the drain time of endpoints are applied while the instance serves callers.
func TestReload(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	i := d.instances[0]
	next := i.options.Settings
	next.Regions = map[string]string{"a": "south", "b": "south", "c": "south"}
	next.Drain.Endpoint = document.Duration(time.Minute)
	i.Reload(next)
	for _, e := range i.directory.Catalog().Set.Endpoints {
		if config.Region(e.Domain) != "south" {
			t.Errorf("%s is in %s", e.Name, e.Domain)
		}
	}
	if diff := cmp.Diff(time.Minute, i.endpointDrainTime()); diff != "" {
		t.Error(diff)
	}
	d.mustQuery(d.dial(0, "main"), "q1", "WRITE x one")
}

// TestFewConnections guards against exceeding the connection limit of an endpoint that allows fewer connections than
// every instance needs for its own pool. The callers of every instance must be served, and no endpoint may refuse a
// connection as one too many.
func TestFewConnections(t *testing.T) {
	t.Parallel()
	const instances, connections = 7, 9
	d := newDeploymentWith(t, instances, connections)
	for _, i := range d.instances {
		d.eventually("all instances are known", func() bool { return i.instanceCount() == instances })
	}
	// Two of the seven instances hold the connections; the others borrow once they know of all instances.
	d.eventually("all but two instances borrow connections", func() bool { return d.borrowedPools() == (instances-2)*d.endpoints() })
	before := d.group.Refused()
	var wait sync.WaitGroup
	for n := range instances {
		for _, route := range []string{"main", "history", "own"} {
			c := d.dial(n, route)
			wait.Go(func() {
				for q := range 40 {
					if r, err := c.Query(fmt.Sprintf("q%d", q), "READ x"); err != nil || r.Code != "" {
						t.Errorf("route %s at instance %d: %s %v", route, n, r.Code, err)
						return
					}
				}
			})
		}
	}
	wait.Wait()
	if refused := d.group.Refused() - before; refused > 0 {
		t.Errorf("%d connections were refused", refused)
	}
	loans := 0
	for _, i := range d.instances {
		loans += i.lender.Loans()
	}
	if loans == 0 {
		t.Error("no instance lent a connection")
	}
}

// TestFewFollow guards against calls to the store that grow with the instances: each of them followed the configuration by
// a request of its own, and each change answered them all. The others must apply a change as soon as those that follow.
func TestFewFollow(t *testing.T) {
	t.Parallel()
	const instances, domains = 12, 3
	d := newDeployment(t, instances)
	followers := func() int {
		n := 0
		for _, i := range d.instances {
			if i.following.active() {
				n++
			}
		}
		return n
	}
	d.eventually("few instances follow", func() bool { return followers() == domains*followersPerDomain })
	// Requests that were sent before the instances knew each other end after followWait at the latest; a change ends them now.
	write := func(version int) {
		d.store.Write("op", "config", map[string]any{
			"version":  version,
			"routes":   []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000}},
			"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
		})
	}
	applied := func(version uint64) func() bool {
		return func() bool {
			for _, i := range d.instances {
				if i.directory.ConfigurationVersion() != version {
					return false
				}
			}
			return true
		}
	}
	write(10)
	d.eventually("first change applied", applied(10))
	// An instance that got its first configuration from a peer begins to follow about a second after its start.
	time.Sleep(2500 * time.Millisecond)
	before, written := d.store.Calls("/rows-feed?table=op"), time.Now()
	write(11)
	d.eventually("second change applied", applied(11))
	if took := time.Since(written); took > 3*time.Second {
		t.Errorf("change in force at all instances after %s", took)
	}
	time.Sleep(time.Second)
	if calls := d.store.Calls("/rows-feed?table=op") - before; calls > domains*followersPerDomain {
		t.Errorf("%d further requests for changes after one, from %d instances in %d domains", calls, instances, domains)
	}
}

// TestRestoredStore guards against instances that go back to an older configuration, can't find each other or miss later
// changes when the platform's store is restored from a copy some seconds old, while some of them restart.
func TestRestoredStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	write := func(version int) {
		d.store.Write("op", "config", map[string]any{
			"version":  version,
			"routes":   []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000}},
			"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
		})
	}
	applied := func(version uint64) func() bool {
		return func() bool {
			for _, i := range d.instances {
				if i.directory.ConfigurationVersion() != version {
					return false
				}
			}
			return true
		}
	}
	d.eventually("registered", func() bool { return len(d.store.Rows("instances")) == 2 })
	old := d.store.Copy()
	write(10)
	third := d.start(2)
	d.eventually("third instance registered", func() bool { return len(d.store.Rows("instances")) == 3 })
	d.eventually("configuration in force before the restore", applied(10))
	d.store.Restore(old)
	restarted := d.startWithSeeds(3, d.instances[0].options.Settings.Listen.Peers)
	d.eventually("restarted instance has the newest configuration that any has", func() bool { return restarted.directory.ConfigurationVersion() == 10 })
	d.eventually("third instance is listed again", func() bool {
		_, listed := d.store.Rows("instances")[third.options.Settings.Instance.ID]
		return listed
	})
	if !applied(10)() {
		t.Error("an instance went back to an older configuration")
	}
	write(11)
	d.eventually("change after the restore", applied(11))
	d.store.Restore(old)
	d.store.Restore(old)
	write(12)
	d.eventually("change after two more restores", applied(12))
	d.mustQuery(d.dial(0, "main"), "q1", "WRITE x one")
}
