package allotment

import (
	"fmt"
	"testing"
	"time"

	"siskincove/config"
)

// TestUseOfAllotment is the load of a workspace that sends several times its allotment for a while, as on days with a busy workspace:
// no more than a tenth of what the users count as its allotment, its rate over a window and its burst, may be refused.
func TestUseOfAllotment(t *testing.T) {
	const least = 0.9
	for _, rate := range []float64{3.5, 16, 39, 89, 257, 320} {
		t.Run(fmt.Sprintf("%.1f per second", rate), func(t *testing.T) {
			f := newFleet(config.Workspace{Name: "w", Rate: rate, Burst: rate})
			f.flood(20 * time.Second)
			if err := f.check(); err != nil {
				t.Error(err)
			}
			last := 0
			for _, start := range f.starts {
				if f.now.Sub(start) < 2*testBounds.Window {
					last++
				}
			}
			allotted := 2 * testBounds.nominal(f.workspace)
			t.Logf("%d operations ran in two windows, %.0f are allotted", last, allotted)
			if float64(last) < least*allotted {
				t.Errorf("%d operations ran in two windows, want at least %.0f of %.0f", last, least*allotted, allotted)
			}
		})
	}
}
