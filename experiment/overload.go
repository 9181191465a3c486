package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"siskincove/load"
)

// Overload offers more load than the endpoints can serve and measures throughput and latency.
type Overload struct {
	Deployment Deployment
	Instances  int
	Rates      []float64
	Duration   time.Duration
	Seed       uint64
}

// overloadWorkTime is long enough for the stand-in's slots to be the bottleneck instead of the test machine.
const overloadWorkTime = 20 * time.Millisecond

// Run prints a table of completed and refused operations per second, latencies and violations for each rate.
func (f Overload) Run(ctx context.Context, w io.Writer) error {
	s, err := startWithWork(ctx, f.Deployment, DefaultSettings, f.Instances, overloadWorkTime)
	if err != nil {
		return err
	}
	defer s.Close()
	pause(ctx, startPause)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, statements of %s, seed %d; %s per row, deadline 3 s", f.Deployment.Name, f.Instances, overloadWorkTime, f.Seed, f.Duration)
	line("| offered/s | done/s | refused/s | worst median ms | worst p99 ms | consistency violations |")
	line("| --- | --- | --- | --- | --- | --- |")
	for i, rate := range f.Rates {
		// Each row has its own seed, because the names of the written keys contain the seed.
		o := s.LoadOptions(rate, f.Duration, f.Seed+uint64(i))
		o.Sessions = 400
		report, err := load.Run(ctx, o)
		if err != nil {
			return err
		}
		done, refused, median, p99 := summarize(report)
		line("| %.0f | %.0f | %.0f | %.0f | %.0f | %d |", rate, float64(done)/report.Seconds, float64(refused)/report.Seconds,
			median, p99, report.ViolationCount+int64(report.Unverified))
	}
	return nil
}

func summarize(r load.Report) (done, refused int64, median, p99 float64) {
	for _, o := range r.Operations {
		done += o.Count
		median, p99 = max(median, o.Median), max(p99, o.P99)
	}
	for _, x := range r.Refusals {
		refused += x.Count
	}
	return done, refused, median, p99
}
