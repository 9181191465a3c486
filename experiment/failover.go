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

// Failover loses primaries again and again and measures how long no write is acknowledged.
type Failover struct {
	Deployment Deployment
	Instances  int
	// Losses is how many primaries are lost in each way.
	Losses int
	Seed   uint64
}

// way is how a primary is lost.
type way struct {
	name   string
	faults []string
}

var ways = []way{
	{name: "killed", faults: []string{"killed"}},
	{name: "frozen", faults: []string{"frozen"}},
	{name: "cut off from its group", faults: []string{"cutpeers"}},
	{name: "cut off from all", faults: []string{"cutpeers", "cutcallers"}},
}

// losses are the gaps of one way under one variant.
type losses struct {
	variant string
	way     string
	gaps    []time.Duration
}

// Naive is the baseline: health checks each second of which three must fail.
var NaiveFailover = Variant{Name: "naive: 3 checks, 1 s apart", Reads: "replica", Settings: `
[failover]
interval = "1s"
silence = "3s"
stagger = "2s"
`}

// Current is the system with its default settings.
var DefaultSettings = Variant{Name: "current", Reads: "replica"}

// Run prints a table of gaps for the naive baseline and the current settings.
func (f Failover) Run(ctx context.Context, w io.Writer) error {
	var all []losses
	for _, v := range []Variant{NaiveFailover, DefaultSettings} {
		found, err := f.variant(ctx, v)
		if err != nil {
			return errors.Wrap(err, v.Name)
		}
		all = append(all, found...)
	}
	f.print(w, all)
	return nil
}

func (f Failover) variant(ctx context.Context, v Variant) ([]losses, error) {
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
	pause(ctx, settlePause)
	out := make([]losses, len(ways))
	for round := range f.rounds(v) {
		for i, way := range ways {
			n := (round + i) % len(s.Groups)
			pause(ctx, time.Duration(random.IntN(500))*time.Millisecond)
			gap, err := lose(ctx, s.Groups[n], probes[n], way)
			if err != nil {
				return nil, err
			}
			out[i] = losses{variant: v.Name, way: way.name, gaps: append(out[i].gaps, gap)}
		}
	}
	stop()
	for _, p := range probes {
		<-p.Done()
	}
	return out, nil
}

// rounds is the number of losses of each kind; the baseline is slow, and a quarter shows its gap.
func (f Failover) rounds(v Variant) int {
	if v.Name == NaiveFailover.Name {
		return max(f.Losses/4, 1)
	}
	return f.Losses
}

const (
	settlePause   = 4 * time.Second
	gapLimit      = 10 * time.Second
	gapPoll       = 20 * time.Millisecond
	gapSettled    = 700 * time.Millisecond
	healPause     = 2500 * time.Millisecond
	acknowledging = 100 * time.Millisecond
)

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// lose loses a group's primary, waits until writes are acknowledged again, heals it and returns the gap.
func lose(ctx context.Context, g *cluster.RunningGroup, p *load.Probe, w way) (time.Duration, error) {
	primary, err := g.Primary()
	if err != nil || primary < 0 {
		return 0, errors.Newf("group has no primary: %v", err)
	}
	p.Reset()
	if err := setFaults(g, primary, w, "true"); err != nil {
		return 0, err
	}
	limit := time.Now().Add(gapLimit)
	pause(ctx, gapSettled)
	for p.Since() > acknowledging || !replaced(g, primary) {
		if time.Now().After(limit) || ctx.Err() != nil {
			return 0, errors.Newf("no write was acknowledged within %s after a primary was %s", gapLimit, w.name)
		}
		pause(ctx, gapPoll)
	}
	gap := p.Longest()
	if err := setFaults(g, primary, w, "false"); err != nil {
		return 0, err
	}
	pause(ctx, healPause)
	return gap, nil
}

func replaced(g *cluster.RunningGroup, old int) bool {
	n, err := g.Primary()
	return err == nil && n >= 0 && n != old
}

func setFaults(g *cluster.RunningGroup, member int, w way, value string) error {
	for _, name := range w.faults {
		if err := g.Fault(member, name, value); err != nil {
			return err
		}
	}
	return nil
}

func (f Failover) print(w io.Writer, all []losses) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%s, %d instances, seed %d", f.Deployment.Name, f.Instances, f.Seed)
	line("| variant | primary | losses | median ms | worst ms |")
	line("| --- | --- | --- | --- | --- |")
	total := make(map[string][]time.Duration)
	for _, l := range all {
		line("| %s | %s | %d | %.0f | %.0f |", l.variant, l.way, len(l.gaps), milliseconds(quantile(l.gaps, 0.5)), milliseconds(quantile(l.gaps, 1)))
		total[l.variant] = append(total[l.variant], l.gaps...)
	}
	for _, v := range []Variant{NaiveFailover, DefaultSettings} {
		gaps := total[v.Name]
		line("| %s | all | %d | %.0f | %.0f |", v.Name, len(gaps), milliseconds(quantile(gaps, 0.5)), milliseconds(quantile(gaps, 1)))
	}
}
