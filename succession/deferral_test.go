package succession

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/directory"
	"siskincove/store"
)

// TestDeferral guards against a succession that begins although this coordinator can't read which endpoints are registered and
// others can, and against one that never begins while the store is down.
func TestDeferral(t *testing.T) {
	const before = -time.Second
	type read struct {
		at     time.Duration
		failed bool
		// last is when the latest answered read was sent.
		last time.Duration
	}
	delay := timing.unreadDelay()
	tests := map[string]struct {
		reads []read
		want  bool
	}{
		"the read succeeds":                          {reads: []read{{}}, want: true},
		"the read fails":                             {reads: []read{{failed: true, last: before}}},
		"the store is down for as long as others":    {reads: []read{{failed: true, last: before}, {at: delay - 1, failed: true, last: before}}},
		"the store is down for longer":               {reads: []read{{failed: true, last: before}, {at: delay, failed: true, last: before}}, want: true},
		"the store answers again":                    {reads: []read{{failed: true, last: before}, {at: time.Millisecond}}, want: true},
		"a read by the poller succeeds meanwhile":    {reads: []read{{failed: true, last: before}, {at: time.Second, failed: true, last: time.Millisecond}}, want: true},
		"a read by the poller succeeded just before": {reads: []read{{failed: true, last: -time.Millisecond}, {at: time.Second, failed: true, last: -time.Millisecond}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d deferral
			got := false
			for _, r := range test.reads {
				reading := directory.Reading{ReadAt: epoch.Add(r.last)}
				if r.failed {
					reading.Err = store.ErrRejected
				}
				d, got = d.with(reading, timing, epoch.Add(r.at))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestDeferralEnds guards against reads that make the deferral longer than it has to be, or that follow each other without a pause.
func TestDeferralEnds(t *testing.T) {
	delay := timing.unreadDelay()
	tests := map[string]struct {
		tried, now time.Duration
		timeout    time.Duration
		due        bool
	}{
		"just tried":                  {tried: time.Second, now: time.Second + deferredRefreshInterval - 1, timeout: deferredRefreshTimeout},
		"tried a while ago":           {tried: time.Second, now: time.Second + deferredRefreshInterval, timeout: deferredRefreshTimeout, due: true},
		"the deferral ends soon":      {tried: time.Second, now: delay - 400*time.Millisecond, timeout: 400 * time.Millisecond, due: true},
		"the deferral has ended":      {tried: delay - time.Millisecond, now: delay, timeout: refreshTimeout, due: true},
		"the deferral ended long ago": {tried: delay, now: 2 * delay, timeout: refreshTimeout, due: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			timeout, due := deferral{since: epoch, triedAt: epoch.Add(test.tried)}.readTimeout(timing, epoch.Add(test.now))
			if diff := cmp.Diff([]any{test.timeout, test.due}, []any{timeout, due}); diff != "" {
				t.Error(diff)
			}
		})
	}
	if timeout, due := (deferral{}).readTimeout(timing, epoch); timeout != refreshTimeout || !due {
		t.Errorf("the first read takes %s, due %v", timeout, due)
	}
}
