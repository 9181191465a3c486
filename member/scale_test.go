package member

import (
	"fmt"
	"testing"
	"time"
)

func makeInstances(n int) []Instance {
	out := make([]Instance, 0, n)
	for i := range n {
		out = append(out, Instance{
			ID: fmt.Sprintf("i%04d", i), Address: fmt.Sprintf("10.0.%d.%d:5433", i/250, i%250), Domain: fmt.Sprintf("r%d/d%d", i%6, i%15),
		})
	}
	return out
}

// BenchmarkRank measures the placement of one endpoint among the instances of its failure domain.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{21, 253, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			placement := NewPlacement(makeInstances(n))
			for b.Loop() {
				placement.HighestRanked("endpoint", "", ownerCandidates)
			}
		})
	}
}

// BenchmarkPeriod measures the table's work for one period of heartbeats.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{21, 500, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			table := NewTable(selfInstance())
			now := time.Unix(1_000_000, 0)
			for _, i := range makeInstances(n) {
				table.Answered(i, false, now)
			}
			for b.Loop() {
				for _, i := range table.Targets(now) {
					table.Answered(i, false, now)
				}
				table.NextRumours()
			}
		})
	}
}

// BenchmarkPlacement measures the rebuild of the placement after a change of the live instances.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{21, 500, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := makeInstances(n)
			for b.Loop() {
				NewPlacement(all)
			}
		})
	}
}
