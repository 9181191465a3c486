package hosted

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"siskincove/allotment"
	"siskincove/config"
	"siskincove/document"
	"siskincove/settings"
	"siskincove/verdict"
)

// allotmentSettings are the bounds of these tests, those of the users' deployments.
var allotmentSettings = settings.Allotment{Window: document.Duration(5 * time.Second), Overage: 0.1, Tolerance: 20}

// newLimitedDeployment starts instances with one workspace, to which the keys of all test callers belong, and waits until its
// accounts are full.
func newLimitedDeployment(t *testing.T, instances int, w config.Workspace, limits settings.Allotment) *deployment {
	t.Helper()
	d := newDeployment(t, 0)
	d.configure = func(s *settings.Settings) { s.Allotment = limits }
	d.store.Write("op", "config", map[string]any{
		"version":  4,
		"routes":   []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000, "priority": 1}},
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
		"tenants":  []map[string]any{{"name": w.Name, "api-keys": []string{"u"}, "rate-per-s": w.Rate, "burst": w.Burst}},
	})
	for n := range instances {
		d.start(n)
	}
	share := allotment.Divide(w, allotment.Bounds{Window: limits.Window.Std(), Overage: limits.Overage, Tolerance: limits.Tolerance}, 1)
	d.eventually("accounts are kept", func() bool {
		open := 0
		for _, i := range d.instances {
			open += i.allotments.keeper.Open()
		}
		return open == share.PerRegion
	})
	time.Sleep(time.Duration(share.Capacity/share.Rate*float64(time.Second)) + 100*time.Millisecond)
	return d
}

// take starts an operation at an instance and reports whether it may run.
func take(i *Instance, w config.Workspace) *verdict.Error {
	_, refused := i.allotments.limiter.Take(context.Background(), w, time.Now().Add(time.Second))
	return refused
}

// TestBurstAtOneInstance guards against a share for each instance: a crowd of a workspace's callers that comes to one instance must get
// what the workspace may run at once on all of them, before callers notice.
func TestBurstAtOneInstance(t *testing.T) {
	const target = 100 * time.Millisecond
	w := config.Workspace{Name: "w", Rate: 100, Burst: 100}
	d := newLimitedDeployment(t, 4, w, allotmentSettings)
	var granted atomic.Int64
	var callers sync.WaitGroup
	started := time.Now()
	for range 300 {
		callers.Go(func() {
			if take(d.instances[0], w) == nil && time.Since(started) <= target {
				granted.Add(1)
			}
		})
	}
	callers.Wait()
	if n := granted.Load(); n < int64(w.Burst) || n > int64(w.Burst)+20 {
		t.Errorf("%d operations were granted within %s, want %.0f", n, target, w.Burst)
	}
}

// TestHotWorkspace guards against a workspace that runs more than its allotment because its callers use all instances, and against
// one that is cut to less. When an instance that keeps one of its two accounts dies, the other must serve the usual
// demand, and nobody may grant the lost part.
func TestHotWorkspace(t *testing.T) {
	w := config.Workspace{Name: "w", Rate: 100, Burst: 100}
	d := newLimitedDeployment(t, 4, w, allotmentSettings)
	granted := d.flood(w, 2*time.Second)
	if want := 2*w.Rate + w.Burst; float64(granted) < 0.9*want || float64(granted) > 1.1*want+20 {
		t.Errorf("%d operations were granted in 2 s, want %.0f", granted, want)
	}
	lost := -1
	for n, i := range d.instances {
		if i.allotments.keeper.Open() > 0 {
			lost = n
		}
	}
	d.instances[lost].Close()
	d.instances = append(d.instances[:lost], d.instances[lost+1:]...)
	time.Sleep(time.Second)
	refused := 0
	for range 40 {
		time.Sleep(25 * time.Millisecond)
		if take(d.instances[0], w) != nil {
			refused++
		}
	}
	if refused > 0 {
		t.Errorf("%d of 40 operations at 40/s were refused after the loss of an account", refused)
	}
	if granted := d.flood(w, 2*time.Second); float64(granted) > 0.6*(2*w.Rate+w.Burst) {
		t.Errorf("%d operations were granted in 2 s without one of two accounts", granted)
	}
}

// flood sends many times the workspace's rate to all instances and returns how many operations were granted.
func (d *deployment) flood(w config.Workspace, duration time.Duration) int {
	var granted atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for _, i := range d.instances {
		for range 4 {
			callers.Go(func() {
				for time.Now().Before(end) {
					if take(i, w) == nil {
						granted.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	callers.Wait()
	return int(granted.Load())
}

// TestOperationsAreCounted guards against counting each statement of a transaction, and against callers that get past the limit:
// transactions of many statements pass, a stream of single statements is refused.
func TestOperationsAreCounted(t *testing.T) {
	w := config.Workspace{Name: "w", Rate: 20, Burst: 4}
	limits := settings.Allotment{Window: document.Duration(5 * time.Second)}
	d := newLimitedDeployment(t, 2, w, limits)
	c := d.dial(0, "main")
	for n := range 3 {
		d.mustQuery(c, fmt.Sprintf("b%d", n), "BEGIN")
		for k := range 12 {
			d.mustQuery(c, fmt.Sprintf("q%d-%d", n, k), "READ x")
		}
		d.mustQuery(c, fmt.Sprintf("c%d", n), "COMMIT")
	}
	refused, started := 0, time.Now()
	for n := range 60 {
		r, err := c.Query(fmt.Sprintf("s%d", n), "READ x")
		if err != nil || r.Code != "" && r.Code != "BUSY" {
			t.Fatalf("%+v, %v", r, err)
		}
		if r.Code == "BUSY" {
			refused++
		}
	}
	if most := w.Burst + w.Rate*time.Since(started).Seconds() + 1; float64(60-refused) > most {
		t.Errorf("%d of 60 statements ran, want at most %.0f", 60-refused, most)
	}
}
