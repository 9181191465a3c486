package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/load"
)

// Share measures the share of reads that replicas serve as their lag grows.
type Share struct {
	Deployment Deployment
	Instances  int
	Rate       float64
	Duration   time.Duration
	Lags       []time.Duration
	Seeds      []uint64
}

// shares are the results of one variant at one lag.
type shares struct {
	variant string
	lag     time.Duration
	share   []float64
	median  []float64
	p99     []float64
	refused int64
	broken  int64
}

// primaryReads is the baseline: a session that has written, or may have, reads at the primary.
var primaryReads = Variant{Name: "naive: main reads at the primary", Reads: "primary"}

// Run prints a table for the naive baseline and the current settings.
func (f Share) Run(ctx context.Context, w io.Writer) error {
	var all []shares
	for _, lag := range f.Lags {
		for _, v := range []Variant{primaryReads, DefaultSettings} {
			v.ApplyLag = lag
			found, err := f.measure(ctx, v)
			if err != nil {
				return errors.Wrap(err, v.Name)
			}
			all = append(all, found)
		}
	}
	f.print(w, all)
	return nil
}

func (f Share) measure(ctx context.Context, v Variant) (shares, error) {
	out := shares{variant: v.Name, lag: v.ApplyLag}
	s, err := Start(ctx, f.Deployment, v, f.Instances)
	if err != nil {
		return out, err
	}
	defer s.Close()
	pause(ctx, settlePause)
	for _, seed := range f.Seeds {
		report, err := load.Run(ctx, s.LoadOptions(f.Rate, f.Duration, seed))
		if err != nil {
			return out, err
		}
		out.add(report)
	}
	return out, nil
}

func (s *shares) add(r load.Report) {
	s.share = append(s.share, r.Replica)
	s.broken += r.Broken + int64(r.Unverified)
	for _, refused := range r.Refusals {
		s.refused += refused.Count
	}
	reads, worst := 0.0, 0.0
	count := int64(0)
	for _, o := range r.Operations {
		if o.Name == "certificate fetch" || o.Name == "history" {
			reads, worst, count = o.Median, o.P99, o.Count
		}
	}
	if count > 0 {
		s.median = append(s.median, reads)
		s.p99 = append(s.p99, worst)
	}
}

func (f Share) print(w io.Writer, all []shares) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, %.0f operations/s for %s, seeds %v, a fifth of sessions roaming each minute", f.Deployment.Name, f.Instances, f.Rate, f.Duration, f.Seeds)
	line("| apply lag | variant | replica share, median (spread) | history read median ms | p99 ms | refused | broken promises |")
	line("| --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range all {
		line("| %s | %s | %.1f%% (%.1f to %.1f) | %.1f | %.1f | %d | %d |", s.lag, s.variant, 100*middle(s.share),
			100*least(s.share), 100*most(s.share), middle(s.median), middle(s.p99), s.refused, s.broken)
	}
}

func least(all []float64) float64 {
	out := all[0]
	for _, n := range all {
		out = min(out, n)
	}
	return out
}

func most(all []float64) float64 {
	out := all[0]
	for _, n := range all {
		out = max(out, n)
	}
	return out
}
