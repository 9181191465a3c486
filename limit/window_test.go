package limit

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestWindow follows windows of eight through refusals, each at a time after the epoch.
func TestWindow(t *testing.T) {
	const limit = 8
	tests := map[string]struct {
		refusals []time.Duration
		at       time.Duration
		limit    int
		want     int
	}{
		"never refused":  {at: time.Hour, want: limit},
		"refusal halves": {refusals: []time.Duration{0}, want: limit / 2},
		"refusals that come together are one sign": {
			refusals: []time.Duration{0, windowRest / 2, windowRest - 1}, at: windowRest, want: limit / 2,
		},
		"refusals one after the other end at one": {
			refusals: []time.Duration{0, windowRest, 2 * windowRest, 3 * windowRest, 4 * windowRest, 5 * windowRest}, at: 5 * windowRest, want: 1,
		},
		"grows with time":              {refusals: []time.Duration{0}, at: windowRecovery / 4, want: limit/2 + limit/4},
		"grows no further than limit":  {refusals: []time.Duration{0}, at: time.Hour, want: limit},
		"lower limit":                  {limit: 3, want: 3},
		"higher limit while it is cut": {refusals: []time.Duration{0}, limit: 2 * limit, want: limit / 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := NewWindow(limit)
			for _, at := range test.refusals {
				w = w.WithRefusal(epoch.Add(at))
			}
			if test.limit > 0 {
				w = w.WithLimit(test.limit)
			}
			if diff := cmp.Diff(test.want, w.Size(epoch.Add(test.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}
