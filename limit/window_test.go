package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWindow checks the size of windows with a limit of eight, created the given age before the epoch, after refusals
// at the given times after it.
func TestWindow(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		age      time.Duration
		refusals []time.Duration
		at       time.Duration
		limit    int
		want     int
	}{
		"new":                     {want: 1},
		"grows from its creation": {age: windowRecovery / 2, want: 1 + limit/2},
		"never refused":           {age: windowRecovery, want: limit},
		"refusal halves":          {age: windowRecovery, refusals: []time.Duration{0}, want: limit / 2},
		"refusals in quick succession count once": {
			age: windowRecovery, refusals: []time.Duration{0, minWindowCutInterval / 2, minWindowCutInterval - 1}, at: minWindowCutInterval, want: limit / 2,
		},
		"repeated refusals stop at one": {
			age:      windowRecovery,
			refusals: []time.Duration{0, minWindowCutInterval, 2 * minWindowCutInterval, 3 * minWindowCutInterval, 4 * minWindowCutInterval, 5 * minWindowCutInterval}, at: 5 * minWindowCutInterval, want: 1,
		},
		"grows after a cut":           {age: windowRecovery, refusals: []time.Duration{0}, at: windowRecovery / 4, want: limit/2 + limit/4},
		"grows no further than limit": {age: windowRecovery, refusals: []time.Duration{0}, at: time.Hour, want: limit},
		"lower limit":                 {age: windowRecovery, limit: 3, want: 3},
		"limit below one":             {age: windowRecovery, limit: -1, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow(limit, epoch.Add(-test.age))
			for _, at := range test.refusals {
				w = w.WithRefusal(epoch.Add(at))
			}
			if test.limit != 0 {
				w = w.WithLimit(test.limit)
			}
			if diff := cmp.Diff(test.want, w.Size(epoch.Add(test.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
