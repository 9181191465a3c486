package member

import (
	"fmt"
	"testing"
	"time"
)

func many(n int) []Instance {
	out := make([]Instance, 0, n)
	for i := range n {
		out = append(out, Instance{
			ID: fmt.Sprintf("i%04d", i), Address: fmt.Sprintf("10.0.%d.%d:5433", i/250, i%250), Domain: fmt.Sprintf("r%d/d%d", i%6, i%15),
		})
	}
	return out
}

// BenchmarkRank is what placing one endpoint costs among the instances of its failure domain.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{21, 253, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			placement := NewPlacement(many(n))
			for b.Loop() {
				placement.Top("endpoint", "", mayOwn)
			}
		})
	}
}

// BenchmarkPeriod is what one period of heartbeats costs in decisions, and what the table holds.
func BenchmarkPeriod(b *testing.B) {
	for _, n := range []int{21, 500, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			table := NewTable(self())
			now := time.Unix(1_000_000, 0)
			for _, i := range many(n) {
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

// BenchmarkPlacement is what a change of the live instances costs before endpoints are placed again.
func BenchmarkPlacement(b *testing.B) {
	for _, n := range []int{21, 500, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			all := many(n)
			for b.Loop() {
				NewPlacement(all)
			}
		})
	}
}
