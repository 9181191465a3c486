package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWindow follows windows of eight, of an age at the epoch, through refusals at times after it.
func TestWindow(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		age      time.Duration
		refusals []time.Duration
		at       time.Duration
		limit    int
		want     int
	}{
		"new":                      {want: 1},
		"grows from its beginning": {age: windowRecovery / 2, want: 1 + limit/2},
		"never refused":            {age: windowRecovery, want: limit},
		"refusal halves":           {age: windowRecovery, refusals: []time.Duration{0}, want: limit / 2},
		"refusals that come together are one sign": {
			age: windowRecovery, refusals: []time.Duration{0, windowRest / 2, windowRest - 1}, at: windowRest, want: limit / 2,
		},
		"refusals one after the other end at one": {
			age:      windowRecovery,
			refusals: []time.Duration{0, windowRest, 2 * windowRest, 3 * windowRest, 4 * windowRest, 5 * windowRest}, at: 5 * windowRest, want: 1,
		},
		"grows with time":             {age: windowRecovery, refusals: []time.Duration{0}, at: windowRecovery / 4, want: limit/2 + limit/4},
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
