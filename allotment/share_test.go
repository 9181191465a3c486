package allotment

import (
	"testing"
	"time"

	"siskincove/config"
)

// usualHeadroom is how many times its usual demand a workspace's rate is.
const usualHeadroom = 1.6

// TestDivide guards against accounts that together grant more than the bound allows, or that are too small to grant anything. Their
// sum must also give the workspace what its rate promises, and without the accounts of a region its usual demand.
func TestDivide(t *testing.T) {
	tests := map[string]struct {
		rate, burst float64
		bounds      Bounds
		wholeRate   float64
	}{
		"large":            {rate: 320, burst: 320, bounds: testBounds, wholeRate: 1},
		"medium":           {rate: 39, burst: 39, bounds: testBounds, wholeRate: 1},
		"small":            {rate: 5, burst: 5, bounds: testBounds, wholeRate: 1},
		"smallest":         {rate: 1.5, burst: 1.5, bounds: testBounds, wholeRate: 1},
		"nothing to spare": {rate: 100, burst: 100, bounds: Bounds{Window: 5 * time.Second}, wholeRate: 0.98},
		"no burst":         {rate: 50, bounds: testBounds, wholeRate: 0.95},
		"only a burst":     {burst: 50, bounds: testBounds},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := config.Workspace{Rate: test.rate, Burst: test.burst}
			s := Divide(w, test.bounds, 3)
			accounts := float64(3 * s.PerRegion)
			most := accounts * (s.Rate*(test.bounds.Window+s.Lifetime).Seconds() + s.Capacity + restartsPerWindow*s.Initial)
			if allowed := test.bounds.Allowed(w); most > allowed+1e-6 {
				t.Errorf("%.1f operations in a window, allowed are %.1f: %+v", most, allowed, s)
			}
			if s.Capacity < 1 || s.Lifetime < minLifetime {
				t.Errorf("unusable: %+v", s)
			}
			if got := accounts * s.Rate; got < test.wholeRate*test.rate {
				t.Errorf("accounts gain %.1f/s together, want %.1f", got, test.wholeRate*test.rate)
			}
			if got := accounts * s.Rate * 2 / 3; got < test.rate/usualHeadroom {
				t.Errorf("accounts of two regions gain %.1f/s, the usual demand is %.1f", got, test.rate/usualHeadroom)
			}
		})
	}
}
