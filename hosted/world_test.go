package hosted

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"siskincove/caller"
	"siskincove/clock"
	"siskincove/connection"
	"siskincove/document"
	"siskincove/event"
	"siskincove/platform/line"
	"siskincove/platform/order"
	"siskincove/platform/rows"
	"siskincove/platform/sheet"
	"siskincove/settings"
	"siskincove/standin/hosting"
)

// world is a deployment on loopback: stand-ins of the platform and instances of ours in this process.
type world struct {
	t         *testing.T
	store     *hosting.Store
	group     *hosting.Group
	promotion *hosting.Promotion
	instances []*Instance
	addresses []string
}

// newWorld starts a group of three endpoints and a number of instances, and waits until they serve.
func newWorld(t *testing.T, instances int) *world {
	t.Helper()
	return newWorldOf(t, instances, 60)
}

// newWorldOf does the same with endpoints that take a number of connections.
func newWorldOf(t *testing.T, instances, connections int) *world {
	t.Helper()
	w := &world{t: t}
	var err error
	if w.store, err = hosting.NewStore(); err != nil {
		t.Fatal(err)
	}
	w.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000, "priority": 1},
			{"name": "r2", "host": "history", "type": "bounded_staleness", "service": "g", "timeout-ms": 4000, "priority": 2, "max-staleness-ms": 1500},
			{"name": "r3", "host": "own", "type": "read_your_writes", "service": "g", "timeout-ms": 4000, "priority": 2, "max-staleness-ms": 2500},
		},
		"services": []map[string]any{{"name": "g", "max-connections": connections, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
	})
	w.group, err = hosting.NewGroup(w.store, hosting.Options{
		Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: connections, Work: 2 * time.Millisecond,
		ApplyLag: 20 * time.Millisecond, PromotionDelay: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if w.promotion, err = hosting.NewPromotion(w.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.close)
	for i := range instances {
		w.start(i)
	}
	for _, i := range w.instances {
		w.eventually("ready", i.health.ready)
	}
	return w
}

func (w *world) close() {
	for _, i := range w.instances {
		i.Close()
	}
	w.promotion.Close()
	w.group.Close()
	w.store.Close()
}

// addresses counts the loopback addresses given out by this process.
var addresses atomic.Uint32

// address returns a loopback IP number of its own, which no connection of another test can have taken a port of.
func address() string {
	const (
		pids  = 200
		hosts = 250
	)
	n := int(addresses.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%pids, n/hosts, 1+n%hosts)
}

func (w *world) start(n int) *Instance { return w.startWithSeeds(n) }

func (w *world) startWithSeeds(n int, seeds ...string) *Instance {
	s := settings.Default()
	s.Instance = settings.Instance{ID: fmt.Sprintf("n%d", n), Domain: "north/" + string("abc"[n%3])}
	ip := address()
	s.Listen = settings.Listen{Callers: ip + ":7101", Peers: ip + ":7102", Health: ip + ":7103", Metrics: ip + ":7104", Seeds: seeds}
	s.Regions = map[string]string{"a": "north", "b": "north", "c": "north"}
	s.Drain.Endpoint = document.Duration(7 * time.Second)
	service := clock.Boot{}
	i, err := New(context.Background(), Options{
		Settings: s, Clock: service, Logger: testLogger(), Rows: rows.New(w.store.Address()), Decoder: sheet.Decoder{},
		Dialer: line.Dialer{Clock: service}, Promoter: order.New(w.promotion.Address(), s.Instance.ID),
		Protocol: func(conn net.Conn) caller.Codec { return line.NewCaller(conn) },
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.instances = append(w.instances, i)
	w.addresses = append(w.addresses, s.Listen.Callers)
	return i
}

// patience is the time that the users' target gives a change of primary, the slowest of what these tests wait for.
const patience = 17 * time.Second

// eventually waits for a condition.
func (w *world) eventually(what string, holds func() bool) {
	w.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	w.t.Fatalf("not within %s: %s", patience, what)
}

// borrowing counts, over all instances, the endpoints to which an instance borrows connections.
func (w *world) borrowing() int {
	n := 0
	w.pools(func(p *connection.Pool) {
		if p.Borrows() {
			n++
		}
	})
	return n
}

// endpoints returns how many endpoints an instance knows.
func (w *world) endpoints() int {
	n := 0
	w.pools(func(*connection.Pool) { n++ })
	return n / len(w.instances)
}

// pools passes every pool of every instance to a function.
func (w *world) pools(visit func(*connection.Pool)) {
	for _, i := range w.instances {
		for _, d := range i.databases.All() {
			for _, e := range d.Members() {
				if p, ok := d.Pool(e.Name); ok {
					visit(p)
				}
			}
		}
	}
}

func (w *world) dial(n int, database string) *hosting.Caller {
	w.t.Helper()
	c, err := hosting.Dial(w.addresses[n], database)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(c.Close)
	return c
}

// must runs a query that has to succeed.
func (w *world) must(c *hosting.Caller, id, text string) hosting.Result {
	w.t.Helper()
	r, err := c.Query(id, text)
	if err != nil || r.Code != "" {
		w.t.Fatalf("%s: %+v, %v", text, r, err)
	}
	return r
}

// testLogger writes to standard output if HOSTED_LOG is set.
func testLogger() *event.Logger {
	if os.Getenv("HOSTED_LOG") == "" {
		return event.Discard()
	}
	return event.NewLogger(event.NewWriter(context.Background(), clock.System{}, os.Stdout), log.InfoLevel, clock.System{})
}
