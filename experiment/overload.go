package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"siskincove/load"
)

// Overload offers more work than the endpoints can do and measures what is still done in time.
type Overload struct {
	Deployment Deployment
	Instances  int
	Rates      []float64
	Duration   time.Duration
	Seed       uint64
}

// overloadWork makes a statement long, so that the stand-in's slots are the bottleneck and not this machine.
const overloadWork = 20 * time.Millisecond

// Run prints, for each rate, the operations done a second and how long refusals and answers took.
func (f Overload) Run(ctx context.Context, w io.Writer) error {
	s, err := openSite(ctx, f.Deployment, DefaultSettings, f.Instances, overloadWork)
	if err != nil {
		return err
	}
	defer s.Close()
	pause(ctx, settlePause)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, statements of %s, seed %d; each row %s, deadline 3 s", f.Deployment.Name, f.Instances, overloadWork, f.Seed, f.Duration)
	line("| offered/s | done/s | refused/s | worst median ms | worst p99 ms | broken promises |")
	line("| --- | --- | --- | --- | --- | --- |")
	for i, rate := range f.Rates {
		// Each row has its own seed, since a seed names the keys that are written.
		o := s.LoadOptions(rate, f.Duration, f.Seed+uint64(i))
		o.Sessions = 400
		report, err := load.Run(ctx, o)
		if err != nil {
			return err
		}
		done, refused, median, tail := summarize(report)
		line("| %.0f | %.0f | %.0f | %.0f | %.0f | %d |", rate, float64(done)/report.Seconds, float64(refused)/report.Seconds,
			median, tail, report.Broken+int64(report.Unverified))
	}
	return nil
}

func summarize(r load.Report) (done, refused int64, median, tail float64) {
	for _, o := range r.Operations {
		done += o.Count
		median, tail = max(median, o.Median), max(tail, o.P99)
	}
	for _, x := range r.Refusals {
		refused += x.Count
	}
	return done, refused, median, tail
}
