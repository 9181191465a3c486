package experiment

import (
	"slices"
	"time"
)

// quantile returns the q-th quantile of durations, 0 when there are none.
func quantile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
