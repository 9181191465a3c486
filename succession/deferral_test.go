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
