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

// TestServes runs each kind of statement through an instance.
func TestServes(t *testing.T) {
	w := newWorld(t, 2)
	c := w.dial(0, "main")
	w.must(c, "q1", "SET zone utc")
	w.must(c, "q2", "PREPARE s1 WRITE shape")
	w.must(c, "q3", "EXEC s1 x one")
	w.must(c, "q4", "BEGIN")
	w.must(c, "q5", "WRITE y two")
	got := w.must(c, "q6", "READ y")
	w.must(c, "q7", "COMMIT")
	if diff := cmp.Diff([]string{"two"}, got.Rows); diff != "" {
		t.Error(diff)
	}
	// A session reads its own write at once, also where replicas lag.
	own := w.dial(1, "own")
	w.must(own, "q8", "WRITE z three")
	if diff := cmp.Diff([]string{"three"}, w.must(own, "q9", "READ z").Rows); diff != "" {
		t.Error(diff)
	}
	// What was acknowledged longer ago than the allowance is read at replicas too.
	time.Sleep(50 * time.Millisecond)
	history := w.dial(1, "history")
	w.eventually("history", func() bool { return w.must(history, "q10", "READ x").Rows[0] == "one" })
	if r, _ := c.Query("q11", "FLY"); r.Code != "BAD" || r.State != "I" {
		t.Errorf("unknown statement: %+v", r)
	}
	if _, err := hosting.Dial(w.addresses[0], "nobody"); err == nil {
		t.Error("unknown database was opened")
	}
	checkHistory(t, w.group)
}

// checkHistory holds what endpoints ran to the rules: no statement of a caller runs in another's transaction, and no write
// is in the log twice.
func checkHistory(t *testing.T, g *hosting.Group) {
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

// writer writes numbered items until it is stopped, each once, and keeps what was acknowledged, refused or unsure.
type writer struct {
	mu    sync.Mutex
	codes map[string]string
	stop  chan struct{}
	done  sync.WaitGroup
}

func (w *world) write(n int) *writer {
	out := &writer{codes: make(map[string]string), stop: make(chan struct{})}
	out.done.Go(func() {
		var c *hosting.Caller
		for i := 0; ; i++ {
			select {
			case <-out.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if c == nil {
				c, _ = hosting.Dial(w.addresses[n], "main")
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
			out.codes[id] = r.Code
			out.mu.Unlock()
		}
	})
	return out
}

func (o *writer) acknowledged() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, code := range o.codes {
		if code == "" {
			n++
		}
	}
	return n
}

// check holds every acknowledged write to be in the log once and every refused one not at all.
func (w *world) check(writers ...*writer) {
	w.t.Helper()
	for _, o := range writers {
		close(o.stop)
		o.done.Wait()
	}
	logged := make(map[string]int)
	for _, record := range w.group.Log() {
		for _, id := range record.Requests {
			logged[id]++
		}
	}
	for _, o := range writers {
		for id, code := range o.codes {
			promised := code != "" && code != "UNSURE" && code != "TIMEOUT"
			switch {
			case code == "" && logged[id] != 1:
				w.t.Errorf("acknowledged %s is in the log %d times", id, logged[id])
			case promised && logged[id] != 0:
				w.t.Errorf("%s was refused with %s and is in the log", id, code)
			case logged[id] > 1:
				w.t.Errorf("%s is in the log %d times", id, logged[id])
			}
		}
	}
}

func TestFailover(t *testing.T) {
	tests := map[string]func(w *world){
		"primary crashes": func(w *world) { w.group.Primary().Crash() },
		"primary crashes while a replica is deaf": func(w *world) {
			w.group.Members()[1].SetReceiveBlocked(true)
			time.Sleep(100 * time.Millisecond)
			w.group.Primary().Crash()
		},
		"primary is leaving":  func(w *world) { w.group.Primary().Drain() },
		"primary is isolated": func(w *world) { w.group.Primary().SetSendBlocked(true) },
		"store is down": func(w *world) {
			w.store.SetFaults(hosting.StoreFaults{Down: true})
			w.group.Primary().Crash()
		},
		"promotion is carried out late": func(w *world) {
			w.promotion.SetFaults(hosting.PromotionFaults{LoseAnswers: 1, Delay: 700 * time.Millisecond})
			w.group.Primary().Crash()
		},
		"platform takes no orders for a while": func(w *world) {
			w.promotion.SetFaults(hosting.PromotionFaults{Down: true})
			w.group.Primary().Crash()
			time.Sleep(time.Second)
			w.promotion.SetFaults(hosting.PromotionFaults{})
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3)
			lost := w.group.Primary()
			writers := []*writer{w.write(0), w.write(1), w.write(2)}
			w.eventually("coordinators have their tokens", func() bool {
				return len(w.store.Rows("fences")) == 1 && writers[0].acknowledged() > 20
			})
			time.Sleep(4500 * time.Millisecond)
			fault(w)
			w.eventually("another endpoint leads", func() bool {
				p := w.group.Primary()
				return p != nil && p != lost
			})
			for _, e := range w.group.Members() {
				e.SetReceiveBlocked(false)
			}
			before := writers[0].acknowledged()
			w.eventually("writes are acknowledged again", func() bool { return writers[0].acknowledged() > before+20 })
			for _, e := range w.group.Members() {
				w.eventually("replicas receive again", func() bool { return e.HeldTerm() == 0 || e == lost })
			}
			w.check(writers...)
			holders := make(map[uint64]string)
			for _, o := range w.promotion.Orders() {
				if holder, used := holders[o.Fence]; used && holder != o.Holder {
					t.Errorf("%s and %s used fencing token %d", holder, o.Holder, o.Fence)
				}
				holders[o.Fence] = o.Holder
			}
		})
	}
}

// TestLostAnswers holds writes whose answers get lost to be told truly.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	writers := []*writer{w.write(0), w.write(1)}
	for range 20 {
		time.Sleep(20 * time.Millisecond)
		w.group.Primary().LoseAnswers(1)
	}
	w.eventually("writes go on", func() bool { return writers[0].acknowledged() > 30 })
	w.check(writers...)
}

// TestLeave ends an instance while callers use it: no request goes without its answer.
func TestLeave(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	idle, open, busy := w.dial(0, "main"), w.dial(0, "main"), w.dial(0, "main")
	w.must(open, "q1", "BEGIN")
	w.must(open, "q2", "WRITE x one")
	left := make(chan int, 1)
	go func() { left <- w.instances[0].Leave(6 * time.Second) }()
	w.eventually("not ready", func() bool { return !w.instances[0].health.ready() })
	for i := range 20 {
		w.must(busy, fmt.Sprintf("b%d", i), "READ x")
	}
	w.must(open, "q3", "COMMIT")
	// A request that meets the farewell is refused with a promise and then the session ends.
	w.eventually("sessions end", func() bool {
		r, err := busy.Query("b", "WRITE y two")
		return err != nil || r.Code == "BUSY"
	})
	if r, err := idle.Receive(); err != nil || r.Code != "BUSY" {
		t.Errorf("idle session got %+v, %v", r, err)
	}
	select {
	case n := <-left:
		if n != 0 {
			t.Errorf("%d sessions were cut off", n)
		}
	case <-time.After(6 * time.Second):
		t.Error("instance did not leave within its limit")
	}
}

// TestStartWithoutStore serves from what peers know.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.store.SetFaults(hosting.StoreFaults{Down: true})
	first := w.instances[0].options.Settings.Listen.Peers
	late := w.startWithSeeds(1, first)
	w.eventually("ready from a peer", late.health.ready)
	w.must(w.dial(1, "main"), "q1", "WRITE x one")
}

// TestConfiguration brings a new version into force and drops a route.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2)
	c := w.dial(0, "main")
	w.store.Write("op", "config", map[string]any{
		"version": 9, "routes": []map[string]any{{"name": "r", "host": "other", "type": "primary", "service": "g", "timeout-ms": 900}},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
	})
	w.eventually("new route", func() bool {
		_, err := hosting.Dial(w.addresses[1], "other")
		return err == nil
	})
	w.eventually("dropped route", func() bool {
		r, _ := c.Query("q1", "READ x")
		return r.Code == "NODB"
	})
	w.store.DropHistory()
	w.store.WriteRaw("op", "config", []byte("{"))
	w.must(w.dial(0, "other"), "q2", "READ x")
}

// TestUnreadableEntry leaves out an entry that can't be read and keeps the others.
func TestUnreadableEntry(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	w.store.WriteRaw("servers", "i-g-9", []byte{0xff, 0x00})
	w.store.Write("servers", "i-g-8", map[string]any{"service": 7, "state": "ready"})
	c := w.dial(0, "main")
	for i := range 20 {
		w.must(c, fmt.Sprintf("q%d", i), "READ x")
		time.Sleep(100 * time.Millisecond)
	}
}

// TestMetrics serves metrics and status beside readiness.
func TestMetrics(t *testing.T) {
	w := newWorld(t, 1)
	w.must(w.dial(0, "main"), "q1", "WRITE x one")
	for _, path := range []string{"/metrics", "/status"} {
		r, err := http.Get("http://" + w.instances[0].options.Settings.Listen.Metrics + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK {
			t.Errorf("%s: %s", path, r.Status)
		}
	}
}

// TestReload puts regions and the time of leaving endpoints in force while the instance serves.
func TestReload(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1)
	i := w.instances[0]
	next := i.options.Settings
	next.Regions = map[string]string{"a": "south", "b": "south", "c": "south"}
	next.Drain.Endpoint = document.Duration(time.Minute)
	i.Reload(next)
	for _, e := range i.directory.Catalog().Set.Endpoints {
		if config.Region(e.Domain) != "south" {
			t.Errorf("%s is in %s", e.Name, e.Domain)
		}
	}
	if diff := cmp.Diff(time.Minute, i.endpointDrain()); diff != "" {
		t.Error(diff)
	}
	w.must(w.dial(0, "main"), "q1", "WRITE x one")
}

// TestFewConnections answers the pattern of more instances than an endpoint takes connections: callers of every instance
// are served, and no endpoint refuses or resets a connection for being one too many.
func TestFewConnections(t *testing.T) {
	t.Parallel()
	const instances, connections = 7, 9
	w := newWorldOf(t, instances, connections)
	for _, i := range w.instances {
		w.eventually("all instances known", func() bool { return i.census() == instances })
	}
	// Of seven instances two hold the connections, and the division follows the knowledge of the others.
	w.eventually("connections divided", func() bool { return w.borrowing() == (instances-2)*w.endpoints() })
	before := w.group.Refused()
	var wait sync.WaitGroup
	for n := range instances {
		for _, route := range []string{"main", "history", "own"} {
			c := w.dial(n, route)
			wait.Go(func() {
				for q := range 40 {
					if r, err := c.Query(fmt.Sprintf("q%d", q), "READ x"); err != nil || r.Code != "" {
						t.Errorf("%s at %d: %s %v", route, n, r.Code, err)
						return
					}
				}
			})
		}
	}
	wait.Wait()
	if over := w.group.Refused() - before; over > 0 {
		t.Errorf("%d connections were one too many", over)
	}
	borrowing := 0
	for _, i := range w.instances {
		borrowing += i.lender.Loans()
	}
	if borrowing == 0 {
		t.Error("no instance borrows")
	}
}
