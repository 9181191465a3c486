package hosted

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskincove/store"
)

// lossyRows are the rows of a store that may stop to answer one instance.
type lossyRows struct {
	store.Rows
	// lost is set while the store does not answer; silent, if it gives no answer at all instead of refusing calls.
	lost   *atomic.Bool
	silent bool
}

// answer returns the error of a call, if any.
func (r lossyRows) answer(ctx context.Context) error {
	if !r.lost.Load() {
		return nil
	}
	if r.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return store.ErrRejected
}

func (r lossyRows) Commit(ctx context.Context, t store.Transaction) (store.Version, error) {
	if err := r.answer(ctx); err != nil {
		return 0, err
	}
	return r.Rows.Commit(ctx, t)
}

func (r lossyRows) Range(ctx context.Context, table, part, from, to string) (store.Page, error) {
	if err := r.answer(ctx); err != nil {
		return store.Page{}, err
	}
	return r.Rows.Range(ctx, table, part, from, to)
}

// Follow loses its answer if the store stops to answer meanwhile.
func (r lossyRows) Follow(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if err := r.answer(ctx); err != nil {
		return store.Changes{}, err
	}
	changes, err := r.Rows.Follow(ctx, table, after, wait)
	if lost := r.answer(ctx); lost != nil {
		return store.Changes{}, lost
	}
	return changes, err
}

// newLossyDeployment starts instances. The store does not answer those whose element of lost is set.
func newLossyDeployment(t *testing.T, instances int, silent bool) (d *deployment, lost []atomic.Bool) {
	t.Helper()
	d, lost = newDeployment(t, 0), make([]atomic.Bool, instances)
	d.rows = func(n int, rows store.Rows) store.Rows {
		return lossyRows{Rows: rows, lost: &lost[n], silent: silent}
	}
	for n := range instances {
		d.start(n)
	}
	return d, lost
}

// TestReadersTurnedAway guards against changes that no instance notices since the store does not answer those that read it for the
// others, and against a store that is asked by all instances when it answers none.
func TestReadersTurnedAway(t *testing.T) {
	const instances = 12
	tests := map[string]struct {
		silent bool
		// all is set if the store answers nobody.
		all bool
	}{
		"refused":        {},
		"unanswered":     {silent: true},
		"all refused":    {all: true},
		"all unanswered": {silent: true, all: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, lost := newLossyDeployment(t, instances, test.silent)
			readers := func() (n int) {
				for _, i := range d.instances {
					for _, r := range i.readings() {
						if r.active() {
							n++
						}
					}
				}
				return n
			}
			const ranked = 3 * (pollersPerDomain + followersPerDomain)
			d.eventually("few instances read", func() bool {
				for _, i := range d.instances {
					if i.instanceCount() != instances {
						return false
					}
				}
				return readers() == ranked
			})
			time.Sleep(2 * time.Second)
			for n, i := range d.instances {
				if test.all || i.polling.active() || i.following.active() {
					lost[n].Store(true)
				}
			}
			if test.all {
				for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					if n := readers(); n > 2*ranked {
						t.Fatalf("%d reads by %d instances, %d by rank", n, instances, ranked)
					}
				}
				return
			}
			lostAt := time.Now()
			d.store.Write("op", "config", map[string]any{
				"version":  10,
				"routes":   []map[string]any{{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 4000}},
				"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}}, "limits": map[string]any{},
			})
			d.group.Members()[2].Drain()
			d.eventually("changes in force at all instances", func() bool {
				for _, i := range d.instances {
					leaving := 0
					for _, e := range i.directory.Catalog().Set.Endpoints {
						if e.Leaving {
							leaving++
						}
					}
					if i.directory.ConfigurationVersion() != 10 || leaving != 1 {
						return false
					}
				}
				return true
			})
			if took := time.Since(lostAt); took > 7*time.Second {
				t.Errorf("changes in force after %s", took)
			}
			for n := range d.instances {
				lost[n].Store(false)
			}
			d.eventually("those that rank highest read alone again", func() bool { return readers() == ranked })
			d.mustQuery(d.dial(0, "main"), "q1", "WRITE x one")
		})
	}
}
