package simulation

import (
	"flag"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var plots = flag.String("plots", "", "directory for the plots of the sweep")

// loads are fractions of the capacity.
var loads = []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3}

// TestSweep runs the proxy's code and the baseline at increasing load, prints a table of answers, refusals and latencies,
// and plots them if a directory is given. The value of the proxy's answers must not be below the baseline's by more than the
// difference between two seeds.
func TestSweep(t *testing.T) {
	const duration, warmup, noise = 8 * time.Second, 2 * time.Second, 0.03
	curves := map[string][]summary{}
	for _, load := range loads {
		for name, naive := range map[string]bool{"current": false, "baseline": true} {
			runScenario(t, testScenario{duration: duration, rate: constantRate(load * capacity)}, naive, func(g *Group, all []Outcome) {
				curves[name] = append(curves[name], summarize(g, all, warmup, duration))
			})
		}
	}
	t.Logf("%-9s %5s %6s %8s %6s %8s %9s %9s %8s", "", "load", "value", "on time/s", "late/s", "refused/s", "p50 ms", "p95 ms", "rejected")
	for _, name := range []string{"baseline", "current"} {
		for n, load := range loads {
			s := curves[name][n]
			seconds := (duration - warmup).Seconds()
			t.Logf("%-9s %5.2f %6.3f %8.0f %6.0f %8.0f %9d %9d %7.1f%%", name, load, valueShare(s), float64(s.onTime)/seconds, float64(s.late)/seconds, float64(s.refused)/seconds,
				s.p50.Milliseconds(), s.p95.Milliseconds(), 100*float64(s.rejected)/float64(s.arrivals))
		}
	}
	for n, load := range loads {
		if got, baseline := valueShare(curves["current"][n]), valueShare(curves["baseline"][n]); got < baseline-noise {
			t.Errorf("load %.2f: value of answers %.3f, baseline %.3f", load, got, baseline)
		}
	}
	if *plots != "" {
		writePlots(t, curves, (duration - warmup).Seconds())
	}
}

// valueShare returns the value of the answers as a fraction of the greatest possible.
func valueShare(s summary) float64 { return s.value / float64(max(s.requests, 1)) }

// writePlots writes a plot of each metric against the load.
func writePlots(t *testing.T, curves map[string][]summary, seconds float64) {
	t.Helper()
	views := map[string]struct {
		label string
		value func(s summary) float64
	}{
		"worth":   {"value of answers, fraction of the maximum", valueShare},
		"goodput": {"answers within the target latency per second", func(s summary) float64 { return float64(s.onTime) / seconds }},
		"waiting": {"95th percentile of latency, ms", func(s summary) float64 { return float64(s.p95.Milliseconds()) }},
		"refused": {"final refusals per second", func(s summary) float64 { return float64(s.refused) / seconds }},
	}
	if err := os.MkdirAll(*plots, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, view := range views {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "load, fraction of capacity", view.label
		p.BackgroundColor = color.White
		p.Legend.Top, p.Legend.Left = true, true
		var lines []any
		for _, curve := range []string{"baseline", "current"} {
			points := make(plotter.XYs, len(loads))
			for n, load := range loads {
				points[n] = plotter.XY{X: load, Y: view.value(curves[curve][n])}
			}
			lines = append(lines, curve, points)
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			t.Fatal(err)
		}
		if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, filepath.Join(*plots, fmt.Sprintf("%s.svg", name))); err != nil {
			t.Fatal(err)
		}
	}
}
