package hosted

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
)

// TestRedistributor guards against a redistribution for each instance when many start or die at once: the cost of one grows
// with the endpoints, so together they took the processor from heartbeats, whose loss caused further changes. It also guards
// against a change just after the start that waits although redistributions are cheap.
func TestRedistributor(t *testing.T) {
	tests := map[string]struct {
		// regions are the regions of the changes, one per step of time.
		regions []string
		step    time.Duration
		// cost is how long a redistribution takes.
		cost time.Duration
		want [][]string
		// within, if set, is the time after the last change in which the last redistribution must have ended.
		within time.Duration
	}{
		"hundred starts within a second": {
			regions: slices.Repeat([]string{"north", "south"}, 50), step: 10 * time.Millisecond, cost: 50 * time.Millisecond,
			want: [][]string{{"north", "south"}, {"north", "south"}, {"north", "south"}},
		},
		"changes far apart": {regions: []string{"north", "south"}, step: time.Second, want: [][]string{{"north"}, {"south"}}},
		"change everywhere": {regions: []string{"north", ""}, step: 0, want: [][]string{{""}}},
		"list of instances read just after the start": {
			regions: []string{"north", ""}, step: 50 * time.Millisecond, cost: time.Millisecond, want: [][]string{{"north"}, {""}},
			within: 3 * redistributeDelay,
		},
		"change after pause": {regions: []string{"north", "south"}, step: 200 * time.Millisecond, want: [][]string{{"north"}, {"south"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var got [][]string
				var last time.Time
				r := startRedistributor(ctx, clock.System{}, func(regions []string) {
					time.Sleep(test.cost)
					slices.Sort(regions)
					got = append(got, regions)
					last = time.Now()
				})
				var requested time.Time
				for _, region := range test.regions {
					requested = time.Now()
					r.request(region)
					time.Sleep(test.step)
				}
				time.Sleep(2 * maxRedistributePause)
				cancel()
				<-r.done
				if took := last.Sub(requested); test.within > 0 && took > test.within {
					t.Errorf("last redistribution %s after the change", took)
				}
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
