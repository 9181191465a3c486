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
	"siskincove/platform/promotion"
	"siskincove/platform/protocol"
	"siskincove/platform/records"
	"siskincove/platform/rows"
	"siskincove/settings"
	"siskincove/standin/hosting"
	"siskincove/store"
)

// deployment is a deployment on loopback, all in this process: stand-ins for the platform's services and endpoints, and
// instances.
type deployment struct {
	t         *testing.T
	store     *hosting.Store
	group     *hosting.Group
	promotion *hosting.Promotion
	instances []*Instance
	addresses []string
	// withdrawal is the bound on the withdrawal of keys for instances that start, and rows what they use as the store, if set.
	withdrawal time.Duration
	rows       func(instance int, rows store.Rows) store.Rows
	// configure, if set, changes the settings of the instances that are started.
	configure func(s *settings.Settings)
}

// newDeployment starts a group of three endpoints and the given number of instances, and waits until they are ready.
func newDeployment(t *testing.T, instances int) *deployment {
	t.Helper()
	return newDeploymentWith(t, instances, 60)
}

// newDeploymentWith is newDeployment with endpoints that accept the given number of connections.
func newDeploymentWith(t *testing.T, instances, connections int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	var err error
	if d.store, err = hosting.NewStore(); err != nil {
		t.Fatal(err)
	}
	d.store.Write("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000, "priority": 1},
			{"name": "r2", "host": "history", "type": "bounded_staleness", "service": "g", "timeout-ms": 4000, "priority": 2, "max-staleness-ms": 1500},
			{"name": "r3", "host": "own", "type": "read_your_writes", "service": "g", "timeout-ms": 4000, "priority": 2, "max-staleness-ms": 2500},
		},
		"services": []map[string]any{{"name": "g", "max-connections": connections, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
	})
	d.group, err = hosting.NewGroup(d.store, hosting.Options{
		Name: "g", Zones: []string{"a", "b", "c"}, SyncReplicas: 1, Slots: 5, Connections: connections, Work: 2 * time.Millisecond,
		ApplyLag: 20 * time.Millisecond, PromotionDelay: 100 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	if d.promotion, err = hosting.NewPromotion(d.group); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.close)
	for i := range instances {
		d.start(i)
	}
	for _, i := range d.instances {
		d.eventually("ready", i.health.ready)
	}
	return d
}

func (d *deployment) close() {
	for _, i := range d.instances {
		i.Close()
	}
	d.promotion.Close()
	d.group.Close()
	d.store.Close()
}

// addresses counts the loopback addresses handed out by this process.
var addresses atomic.Uint32

// address returns a loopback IP address that nothing else uses, so that its ports can't be taken by connections of other
// tests.
func address() string {
	const (
		pids  = 200
		hosts = 250
	)
	n := int(addresses.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%pids, n/hosts, 1+n%hosts)
}

func (d *deployment) start(n int) *Instance { return d.startWithSeeds(n) }

func (d *deployment) startWithSeeds(n int, seeds ...string) *Instance {
	return d.startIn(d.store.Address(), fmt.Sprintf("n%d", n), "north/"+string("abc"[n%3]), seeds...)
}

// startIn starts an instance in a failure domain that reaches the store at an address.
func (d *deployment) startIn(storeAddress, id, domain string, seeds ...string) *Instance {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Domain: domain}
	ip := address()
	s.Listen = settings.Listen{Callers: ip + ":7101", Peers: ip + ":7102", Health: ip + ":7103", Metrics: ip + ":7104", Seeds: seeds}
	s.Regions = map[string]string{"a": "north", "b": "north", "c": "north"}
	s.Drain.Endpoint = document.Duration(7 * time.Second)
	s.Keys.Withdrawal = document.Duration(d.withdrawal)
	if d.configure != nil {
		d.configure(&s)
	}
	clk := clock.Boot{}
	var rowStore store.Rows = rows.New(storeAddress)
	if d.rows != nil {
		rowStore = d.rows(len(d.instances), rowStore)
	}
	i, err := New(context.Background(), Options{
		Settings: s, Clock: clk, Logger: testLogger(), Rows: rowStore, Decoder: records.Decoder{},
		Dialer: protocol.Dialer{Clock: clk}, ProbeDialer: protocol.Dialer{Clock: clk}, Promoter: promotion.New(d.promotion.Address(), s.Instance.ID),
		Protocol: func(conn net.Conn) caller.Codec { return protocol.NewCallerCodec(conn) },
	})
	if err != nil {
		d.t.Fatal(err)
	}
	d.instances = append(d.instances, i)
	d.addresses = append(d.addresses, s.Listen.Callers)
	return i
}

// waitTimeout is the users' target for a failover, the slowest of the conditions that these tests wait for.
const waitTimeout = 17 * time.Second

// eventually waits until a condition holds. It fails the test after waitTimeout.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("condition not met within %s: %s", waitTimeout, what)
}

// borrowedPools returns the number of pools, over all instances, whose connections are borrowed.
func (d *deployment) borrowedPools() int {
	n := 0
	d.eachPool(func(p *connection.Pool) {
		if p.Borrows() {
			n++
		}
	})
	return n
}

// endpoints returns the number of endpoints that an instance knows.
func (d *deployment) endpoints() int {
	n := 0
	d.eachPool(func(*connection.Pool) { n++ })
	return n / len(d.instances)
}

// eachPool calls visit for every pool of every instance.
func (d *deployment) eachPool(visit func(*connection.Pool)) {
	for _, i := range d.instances {
		for _, db := range i.databases.All() {
			for _, e := range db.Members() {
				if p, ok := db.Pool(e.Name); ok {
					visit(p)
				}
			}
		}
	}
}

func (d *deployment) dial(n int, database string) *hosting.Caller {
	d.t.Helper()
	c, err := hosting.Dial(d.addresses[n], database)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(c.Close)
	return c
}

// mustQuery runs a query and fails the test if it does not succeed.
func (d *deployment) mustQuery(c *hosting.Caller, id, text string) hosting.Result {
	d.t.Helper()
	r, err := c.Query(id, text)
	if err != nil || r.Code != "" {
		d.t.Fatalf("%s: %+v, %v", text, r, err)
	}
	return r
}

// testLogger returns a logger that writes to standard output if HOSTED_LOG is set, and discards otherwise.
func testLogger() *event.Logger {
	if os.Getenv("HOSTED_LOG") == "" {
		return event.Discard()
	}
	return event.NewLogger(event.NewWriter(context.Background(), clock.System{}, os.Stdout), log.InfoLevel, clock.System{})
}
