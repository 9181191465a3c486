package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/load"
)

// Share measures the share of reads that replicas serve at increasing replication lag.
type Share struct {
	Deployment Deployment
	Instances  int
	Rate       float64
	Duration   time.Duration
	Lags       []time.Duration
	Seeds      []uint64
}

// shareResult holds the results of one variant at one lag, with one value per seed for shares and latencies.
type shareResult struct {
	variant       string
	lag           time.Duration
	replicaShares []float64
	medians       []float64
	p99s          []float64
	refused       int64
	violations    int64
}

// primaryReads is the baseline: main routes read from the primary, since their sessions may have written what they read.
var primaryReads = Variant{Name: "naive: main routes read from the primary", Reads: "primary"}

// Run prints a table for the naive baseline and the default settings.
func (f Share) Run(ctx context.Context, w io.Writer) error {
	var all []shareResult
	for _, lag := range f.Lags {
		for _, v := range []Variant{primaryReads, DefaultSettings} {
			v.ApplyLag = lag
			result, err := f.measure(ctx, v)
			if err != nil {
				return errors.Wrap(err, v.Name)
			}
			all = append(all, result)
		}
	}
	f.print(w, all)
	return nil
}

func (f Share) measure(ctx context.Context, v Variant) (shareResult, error) {
	out := shareResult{variant: v.Name, lag: v.ApplyLag}
	s, err := Start(ctx, f.Deployment, v, f.Instances)
	if err != nil {
		return out, err
	}
	defer s.Close()
	pause(ctx, startPause)
	for _, seed := range f.Seeds {
		report, err := load.Run(ctx, s.LoadOptions(f.Rate, f.Duration, seed))
		if err != nil {
			return out, err
		}
		out.add(report)
	}
	return out, nil
}

func (s *shareResult) add(r load.Report) {
	s.replicaShares = append(s.replicaShares, r.ReplicaShare)
	s.violations += r.ViolationCount + int64(r.Unverified)
	for _, refused := range r.Refusals {
		s.refused += refused.Count
	}
	median, p99 := 0.0, 0.0
	count := int64(0)
	for _, o := range r.Operations {
		if o.Name == "certificate fetch" || o.Name == "history" {
			median, p99, count = o.Median, o.P99, o.Count
		}
	}
	if count > 0 {
		s.medians = append(s.medians, median)
		s.p99s = append(s.p99s, p99)
	}
}

func (f Share) print(w io.Writer, all []shareResult) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, %.0f operations/s for %s, seeds %v, 20%% of sessions move each minute", f.Deployment.Name, f.Instances, f.Rate, f.Duration, f.Seeds)
	line("| apply lag | variant | replica share, median (spread) | history read median ms | p99 ms | refused | consistency violations |")
	line("| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range all {
		line("| %s | %s | %.1f%% (%.1f to %.1f) | %.1f | %.1f | %d | %d |", s.lag, s.variant, 100*medianOf(s.replicaShares),
			100*minOf(s.replicaShares), 100*maxOf(s.replicaShares), medianOf(s.medians), medianOf(s.p99s), s.refused, s.violations)
	}
}

func minOf(all []float64) float64 {
	out := all[0]
	for _, n := range all {
		out = min(out, n)
	}
	return out
}

func maxOf(all []float64) float64 {
	out := all[0]
	for _, n := range all {
		out = max(out, n)
	}
	return out
}
