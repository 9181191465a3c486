package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/load"
	"siskincove/standin/cluster"
)

// Failover measures the time without acknowledged writes after the loss of a primary.
type Failover struct {
	Deployment Deployment
	Instances  int
	// Losses is the number of losses for each failure mode.
	Losses int
	Seed   uint64
}

// failureMode is a way in which a primary fails.
type failureMode struct {
	name   string
	faults []string
}

var failureModes = []failureMode{
	{name: "killed", faults: []string{"killed"}},
	{name: "frozen", faults: []string{"frozen"}},
	{name: "isolated from its group", faults: []string{"cutpeers"}},
	{name: "isolated from group and callers", faults: []string{"cutpeers", "cutcallers"}},
}

// writeGaps holds the times without acknowledged writes of one failure mode under one variant.
type writeGaps struct {
	variant string
	mode    string
	gaps    []time.Duration
}

// NaiveFailover is the baseline: a failover after three failed health checks at an interval of 1 s.
var NaiveFailover = Variant{Name: "naive: 3 checks, 1 s apart", Reads: "replica", Settings: `
[failover]
interval = "1s"
silence = "3s"
stagger = "2s"
`}

// DefaultSettings is the system with its default settings.
var DefaultSettings = Variant{Name: "current", Reads: "replica"}

// Run prints a table of write gaps for the naive baseline and the default settings.
func (f Failover) Run(ctx context.Context, w io.Writer) error {
	var all []writeGaps
	for _, v := range []Variant{NaiveFailover, DefaultSettings} {
		gaps, err := f.measure(ctx, v)
		if err != nil {
			return errors.Wrap(err, v.Name)
		}
		all = append(all, gaps...)
	}
	f.print(w, all)
	return nil
}

func (f Failover) measure(ctx context.Context, v Variant) ([]writeGaps, error) {
	s, err := Start(ctx, f.Deployment, v, f.Instances)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	probing, stop := context.WithCancel(ctx)
	defer stop()
	o := s.LoadOptions(0, 0, f.Seed)
	o.Probe = 10 * time.Millisecond
	var probes []*load.Probe
	for _, route := range o.Main {
		probes = append(probes, load.NewProbe(probing, o, route))
	}
	random := rand.New(rand.NewPCG(f.Seed, 1))
	pause(ctx, startPause)
	out := make([]writeGaps, len(failureModes))
	for round := range f.rounds(v) {
		for i, mode := range failureModes {
			n := (round + i) % len(s.Groups)
			pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
			gap, err := measureGap(ctx, s.Groups[n], probes[n], mode)
			if err != nil {
				return nil, err
			}
			out[i] = writeGaps{variant: v.Name, mode: mode.name, gaps: append(out[i].gaps, gap)}
		}
	}
	stop()
	for _, p := range probes {
		<-p.Done()
	}
	return out, nil
}

// rounds returns the number of losses of each failure mode: a quarter for the baseline, since its failovers take longer and
// fewer of them are enough to show its gap.
func (f Failover) rounds(v Variant) int {
	if v.Name == NaiveFailover.Name {
		return max(f.Losses/4, 1)
	}
	return f.Losses
}

const (
	// startPause is the time between the start of a deployment and its measurement.
	startPause = 4 * time.Second
	// waitTimeout bounds the wait for a new primary, or for a revision.
	waitTimeout  = 10 * time.Second
	recoveryPoll = 20 * time.Millisecond
	// faultDelay is the time from a fault to the first check for recovery, recoveryPause the time after the fault is cleared.
	faultDelay    = 700 * time.Millisecond
	recoveryPause = 2500 * time.Millisecond
	// maxWriteInterval is how old the last acknowledged write may be for writes to count as resumed.
	maxWriteInterval = 100 * time.Millisecond
)

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// measureGap makes a group's primary fail, waits until another primary acknowledges writes, clears the faults and returns
// the longest time without an acknowledged write.
func measureGap(ctx context.Context, g *cluster.RunningGroup, p *load.Probe, mode failureMode) (time.Duration, error) {
	primary, err := g.Primary()
	if err != nil || primary < 0 {
		return 0, errors.Newf("group has no primary: %v", err)
	}
	p.Reset()
	if err := setFaults(g, primary, mode, "true"); err != nil {
		return 0, err
	}
	deadline := time.Now().Add(waitTimeout)
	pause(ctx, faultDelay)
	for p.SinceLastWrite() > maxWriteInterval || !primaryReplaced(g, primary) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return 0, errors.Newf("no write was acknowledged within %s after a primary was %s", waitTimeout, mode.name)
		}
		pause(ctx, recoveryPoll)
	}
	gap := p.LongestGap()
	if err := setFaults(g, primary, mode, "false"); err != nil {
		return 0, err
	}
	pause(ctx, recoveryPause)
	return gap, nil
}

func primaryReplaced(g *cluster.RunningGroup, old int) bool {
	n, err := g.Primary()
	return err == nil && n >= 0 && n != old
}

func setFaults(g *cluster.RunningGroup, member int, mode failureMode, value string) error {
	for _, name := range mode.faults {
		if err := g.Fault(member, name, value); err != nil {
			return err
		}
	}
	return nil
}

func (f Failover) print(w io.Writer, all []writeGaps) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, seed %d", f.Deployment.Name, f.Instances, f.Seed)
	line("| variant | failure of the primary | losses | median ms | worst ms |")
	line("| --- | --- | --- | --- | --- |")
	totals := make(map[string][]time.Duration)
	for _, result := range all {
		line("| %s | %s | %d | %.0f | %.0f |", result.variant, result.mode, len(result.gaps), milliseconds(quantile(result.gaps, 0.5)), milliseconds(quantile(result.gaps, 1)))
		totals[result.variant] = append(totals[result.variant], result.gaps...)
	}
	for _, v := range []Variant{NaiveFailover, DefaultSettings} {
		gaps := totals[v.Name]
		line("| %s | all | %d | %.0f | %.0f |", v.Name, len(gaps), milliseconds(quantile(gaps, 0.5)), milliseconds(quantile(gaps, 1)))
	}
}
