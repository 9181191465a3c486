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
// with the endpoints, so together they took the processor from heartbeats, whose loss caused further changes.
func TestRedistributor(t *testing.T) {
	tests := map[string]struct {
		// regions are the regions of the changes, one per step of time.
		regions []string
		step    time.Duration
		want    [][]string
	}{
		"hundred starts within a second": {
			regions: slices.Repeat([]string{"north", "south"}, 50), step: 10 * time.Millisecond,
			want: [][]string{{"north", "south"}, {"north", "south"}, {"north", "south"}},
		},
		"changes far apart":  {regions: []string{"north", "south"}, step: time.Second, want: [][]string{{"north"}, {"south"}}},
		"change everywhere":  {regions: []string{"north", ""}, step: 0, want: [][]string{{""}}},
		"change after pause": {regions: []string{"north", "south"}, step: 200 * time.Millisecond, want: [][]string{{"north"}, {"south"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				var got [][]string
				r := startRedistributor(ctx, clock.System{}, func(regions []string) {
					slices.Sort(regions)
					got = append(got, regions)
				})
				for _, region := range test.regions {
					r.request(region)
					time.Sleep(test.step)
				}
				time.Sleep(2 * redistributePause)
				cancel()
				<-r.done
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
