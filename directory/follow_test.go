package directory

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// outageRows is a store with one row, which changes once, and that gives no answer for some time: neither to a call that arrives then
// nor to one that it holds when that time begins. Times are since the start.
type outageRows struct {
	start        time.Time
	from, to     time.Duration
	changedAt    time.Duration
	row, changed store.Row
	// delay is how long each answer takes from slowFrom on.
	delay, slowFrom time.Duration
}

func (r *outageRows) now() time.Duration { return time.Since(r.start) }

// hold waits until a time, and for the delay, or until ctx ends. It reports whether the store still answers then.
func (r *outageRows) hold(ctx context.Context, until time.Duration) bool {
	if r.now() >= r.slowFrom {
		until += r.delay
	}
	if r.now() < r.to && until >= r.from {
		<-ctx.Done()
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(until - r.now()):
		return true
	}
}

func (r *outageRows) current() store.Row {
	if r.now() >= r.changedAt {
		return r.changed
	}
	return r.row
}

func (r *outageRows) Commit(context.Context, store.Transaction) (store.Version, error) { return 0, nil }

func (r *outageRows) Range(ctx context.Context, table, _, _, _ string) (store.Page, error) {
	if !r.hold(ctx, r.now()) {
		return store.Page{}, ctx.Err()
	}
	row := r.current()
	if table != row.Key.Table {
		return store.Page{Version: r.row.Version}, nil
	}
	return store.Page{Rows: []store.Row{row}, Version: row.Version}, nil
}

func (r *outageRows) Follow(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	until := r.now() + wait
	if table == r.row.Key.Table && after < r.changed.Version {
		until = min(until, max(r.now(), r.changedAt))
	}
	if !r.hold(ctx, until) {
		return store.Changes{}, ctx.Err()
	}
	row := r.current()
	if table != row.Key.Table || row.Version <= after {
		return store.Changes{Version: after}, nil
	}
	return store.Changes{Changes: []store.Change{{Row: row}}, Version: row.Version}, nil
}

// startDirectory starts a directory that follows and polls. confirms is Options.Confirms.
func startDirectory(ctx context.Context, rows store.Rows, confirms bool) *Directory {
	return New(ctx, Options{
		Rows: rows, Decoder: wordDecoder{}, Clock: clock.System{}, Logger: event.Discard(),
		Apply: func(*config.Catalog, map[string]string) {}, OnChange: func() {}, Regions: func() map[string]string { return nil },
		Confirms: func() bool { return confirms }, ShouldFollow: func() bool { return true }, ShouldPoll: func() bool { return true },
	})
}

// TestLostCall guards against a configuration or a leaving endpoint that is not noticed in time because the call that would have told
// of it was lost when the store gave no answer for some time; every instance that reads for the others may lose its call at once. A
// change is acknowledged when the store has been well for 4 s, and has to be in force 3 s later, or 7 s for endpoints.
func TestLostCall(t *testing.T) {
	const stable, inForce, drained = 4 * time.Second, 3 * time.Second, 7 * time.Second
	configuration := func(value string, version store.Version) store.Row {
		return store.Row{Key: store.Key{Table: "o", Key: "c"}, Value: []byte(value), Version: version}
	}
	endpoint := func(value string, version store.Version) store.Row {
		return store.Row{Key: store.Key{Table: "e", Key: "a"}, Value: []byte(value), Version: version}
	}
	tests := map[string]struct {
		row, changed store.Row
		want         Versions
		bound, delay time.Duration
		// confirms is set if the directory is asked to confirm the configuration at intervals.
		confirms bool
	}{
		"configuration": {row: configuration("a", 1), changed: configuration("ab", 2), want: Versions{Configuration: 2}, bound: inForce},
		"endpoints":     {row: endpoint("replica ready 1", 1), changed: endpoint("replica leaving 2", 2), want: Versions{Endpoints: 2}, bound: drained},
		"configuration, each answer takes 0.7 s": {
			row: configuration("a", 1), changed: configuration("ab", 2), want: Versions{Configuration: 2}, bound: inForce, delay: 700 * time.Millisecond,
		},
		"configuration, confirmed at intervals": {
			row: configuration("a", 1), changed: configuration("ab", 2), want: Versions{Configuration: 2}, bound: inForce, confirms: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, outage := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond, 6 * time.Second} {
				for from := 3 * time.Second; from <= 14*time.Second; from += 500 * time.Millisecond {
					synctest.Test(t, func(t *testing.T) {
						to := from + outage
						rows := &outageRows{
							start: time.Now(), from: from, to: to, changedAt: to + stable, row: test.row, changed: test.changed, delay: test.delay,
						}
						ctx, cancel := context.WithCancel(context.Background())
						d := startDirectory(ctx, rows, test.confirms)
						confirmed := make(chan struct{})
						go func() {
							defer close(confirmed)
							for test.confirms && clock.Wait(ctx, clock.System{}, 950*time.Millisecond) == nil {
								callCtx, stop := store.WithProgress(ctx, 700*time.Millisecond)
								_ = d.Confirm(callCtx)
								stop()
							}
						}()
						time.Sleep(rows.changedAt + test.bound)
						if got := d.Versions(); got != test.want {
							t.Errorf("silent from %s to %s: %s after a change at %s the versions are %+v", from, to, test.bound, rows.changedAt, got)
						}
						cancel()
						<-d.Done()
						<-confirmed
					})
				}
			}
		})
	}
}

// TestSlowStore guards against an instance that never learns of a change since it gives up each call before a slow store answers.
func TestSlowStore(t *testing.T) {
	for _, delay := range []time.Duration{time.Second, 1400 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				row := store.Row{Key: store.Key{Table: "o", Key: "c"}, Value: []byte("a"), Version: 1}
				changed := row
				changed.Value, changed.Version = []byte("ab"), 2
				rows := &outageRows{start: time.Now(), changedAt: 20 * time.Second, row: row, changed: changed, delay: delay, slowFrom: 10 * time.Second}
				ctx, cancel := context.WithCancel(context.Background())
				d := startDirectory(ctx, rows, false)
				time.Sleep(rows.changedAt + 4*delay + followWait)
				if got := d.Versions().Configuration; got != 2 {
					t.Errorf("version %d in force", got)
				}
				cancel()
				<-d.Done()
			})
		})
	}
}
