package hosted

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/freshness"
	"siskincove/standin/hosting"
	"siskincove/store"
)

// withdrawal is the bound of the deployments whose keys are withdrawn.
const withdrawal = 5 * time.Second

// refusingRows is a store that turns one instance away while refuses is set.
type refusingRows struct {
	store.Rows
	refuses *atomic.Bool
}

var errTurnedAway = errors.New("turned away")

func (r refusingRows) Commit(ctx context.Context, t store.Transaction) (store.Version, error) {
	if r.refuses.Load() {
		return 0, errTurnedAway
	}
	return r.Rows.Commit(ctx, t)
}

func (r refusingRows) Range(ctx context.Context, table, part, from, to string) (store.Page, error) {
	if r.refuses.Load() {
		return store.Page{}, errTurnedAway
	}
	return r.Rows.Range(ctx, table, part, from, to)
}

// Follow loses its answer if the instance is turned away meanwhile.
func (r refusingRows) Follow(ctx context.Context, table string, after store.Version, maxWait time.Duration) (store.Changes, error) {
	if r.refuses.Load() {
		return store.Changes{}, errTurnedAway
	}
	changes, err := r.Rows.Follow(ctx, table, after, maxWait)
	if r.refuses.Load() {
		return store.Changes{}, errTurnedAway
	}
	return changes, err
}

// keyed is a deployment whose callers present keys, and which can turn single instances away from the store.
type keyed struct {
	*deployment
	version    int
	turnedAway []*atomic.Bool
}

// newKeyed starts a deployment with the given number of instances. The key that hosting.Dial presents is valid there.
func newKeyed(t *testing.T, instances int) *keyed {
	t.Helper()
	k := &keyed{deployment: newDeployment(t, 0), version: 3}
	for range instances {
		k.turnedAway = append(k.turnedAway, new(atomic.Bool))
	}
	k.deployment.withdrawal = withdrawal
	k.rows = func(n int, rows store.Rows) store.Rows { return refusingRows{Rows: rows, refuses: k.turnedAway[n]} }
	k.publish("u", "v")
	for n := range instances {
		k.start(n)
	}
	for _, i := range k.instances {
		k.eventually("ready", i.health.ready)
		k.eventually("all instances known", func() bool { return i.instanceCount() == instances })
	}
	return k
}

// publish writes a configuration in which the given keys are valid.
func (k *keyed) publish(keys ...string) {
	k.version++
	k.store.Write("op", "config", map[string]any{
		"version": k.version,
		"routes": []map[string]any{
			{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000, "priority": 1},
		},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
		"tenants":  []map[string]any{{"name": "w", "api-keys": keys, "rate-per-s": 1000, "burst": 1000}},
	})
}

// TestProofsFromPeers guards against an instance that refuses its callers because the store turns it away, although its peers know
// the newest configuration, and against one that serves a key that is withdrawn meanwhile.
func TestProofsFromPeers(t *testing.T) {
	t.Parallel()
	k := newKeyed(t, 3)
	c := k.dial(0, "main")
	k.mustQuery(c, "q1", "WRITE x one")
	k.turnedAway[0].Store(true)
	for end := time.Now().Add(withdrawal + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		k.mustQuery(c, "q2", "READ x")
	}
	if !k.instances[0].health.ready() {
		t.Error("instance is not ready")
	}
	k.publish("v")
	acknowledged := time.Now()
	k.eventually("withdrawn key refused", func() bool {
		r, err := c.Query("q3", "READ x")
		return err != nil || r.Code == "NOAUTH"
	})
	if took := time.Since(acknowledged); took > withdrawal {
		t.Errorf("withdrawn key was served for %s", took)
	}
}

// TestNoProof guards against an instance that is cut off from the store and from its peers and serves a key that is withdrawn
// meanwhile: it must refuse in time, be not ready, and end idle sessions so that their callers go elsewhere.
func TestNoProof(t *testing.T) {
	t.Parallel()
	k := newKeyed(t, 3)
	c, idle := k.dial(0, "main"), k.dial(0, "main")
	// The connections of the workspace may be held by the other instances, so those end first.
	for _, i := range k.instances[1:] {
		i.Close()
	}
	k.eventually("served without the other instances", func() bool {
		r, err := c.Query("q0", "WRITE x zero")
		return err == nil && r.Code == ""
	})
	// A session in a transaction does not end while the transaction is open, so only the check of each statement refuses it.
	k.mustQuery(c, "q1", "BEGIN")
	k.mustQuery(c, "q2", "WRITE x one")
	k.turnedAway[0].Store(true)
	k.publish("v")
	acknowledged := time.Now()
	var lastServed time.Duration
	for time.Since(acknowledged) < withdrawal+time.Second {
		sent := time.Since(acknowledged)
		r, err := c.Query("q3", "READ x")
		if err != nil || r.Code != "" {
			break
		}
		lastServed = sent
		time.Sleep(5 * time.Millisecond)
	}
	if lastServed > withdrawal || lastServed < withdrawal/2 {
		t.Errorf("last request that was served was sent %s after the withdrawal", lastServed)
	}
	k.eventually("not ready", func() bool { return !k.instances[0].health.ready() })
	if r, err := idle.Receive(); err != nil || r.Code != "BUSY" {
		t.Errorf("idle session received %+v, %v, want BUSY", r, err)
	}
	k.turnedAway[0].Store(false)
	k.eventually("ready again", k.instances[0].health.ready)
	if _, err := hosting.Dial(k.addresses[0], "main"); err == nil {
		t.Error("withdrawn key was accepted again")
	}
}

// TestProofsInCalm guards against proofs that are too old when an outage of the store begins, and against calls to the store that
// grow with the instances.
func TestProofsInCalm(t *testing.T) {
	t.Parallel()
	const instances = 12
	k := newKeyed(t, instances)
	for n := range instances {
		k.mustQuery(k.dial(n, "main"), "q", "READ x")
	}
	time.Sleep(2 * time.Second)
	const duration = 5 * time.Second
	oldest, before := time.Duration(0), k.store.Calls("/rows-feed?table=op")
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, i := range k.instances {
			_, age, _ := i.freshness.Claim()
			oldest = max(oldest, age)
		}
	}
	if bridged := freshness.NewLimits(withdrawal).Serve - oldest; bridged < 3*withdrawal/5 {
		t.Errorf("oldest proof was of %s", oldest)
	}
	if calls := k.store.Calls("/rows-feed?table=op") - before; calls > 2*int(duration/time.Second) {
		t.Errorf("%d calls of %d instances in %s", calls, instances, duration)
	}
}

// TestProofsNotNeeded checks that instances without the setting neither ask for proofs nor send them.
func TestProofsNotNeeded(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	before := d.store.Calls("/rows-feed?table=op")
	time.Sleep(2 * time.Second)
	if calls := d.store.Calls("/rows-feed?table=op") - before; calls > 2 {
		t.Errorf("%d calls", calls)
	}
	if _, _, proven := d.instances[0].freshness.Claim(); proven {
		t.Error("instance claims a proof")
	}
	r, err := http.Get("http://" + d.instances[0].options.Settings.Listen.Health + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	_ = r.Body.Close()
	if r.StatusCode != http.StatusOK {
		t.Errorf("readiness is %s", r.Status)
	}
}
