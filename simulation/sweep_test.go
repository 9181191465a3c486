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

// loads are parts of the capacity.
var loads = []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3}

// TestSweep plays days of growing load with the product's code and with the baseline, prints what was answered, late,
// refused and waited, and draws it if a directory is given. What the product's answers are worth must never be less than the
// baseline's, beyond what two seeds differ by.
func TestSweep(t *testing.T) {
	const duration, warm, noise = 8 * time.Second, 2 * time.Second, 0.03
	curves := map[string][]summary{}
	for _, load := range loads {
		for name, naive := range map[string]bool{"current": false, "baseline": true} {
			play(t, scenario{duration: duration, rate: steady(load * capacity)}, naive, func(g *Group, all []Outcome) {
				curves[name] = append(curves[name], summarize(g, all, warm, duration))
			})
		}
	}
	t.Logf("%-9s %5s %6s %8s %6s %8s %9s %9s %8s", "", "load", "worth", "in aim/s", "late/s", "refused/s", "p50 ms", "p95 ms", "no place")
	for _, name := range []string{"baseline", "current"} {
		for n, load := range loads {
			s := curves[name][n]
			each := (duration - warm).Seconds()
			t.Logf("%-9s %5.2f %6.3f %8.0f %6.0f %8.0f %9d %9d %7.1f%%", name, load, worthShare(s), float64(s.inAim)/each, float64(s.late)/each, float64(s.refused)/each,
				s.p50.Milliseconds(), s.p95.Milliseconds(), 100*float64(s.busy)/float64(s.arrivals))
		}
	}
	for n, load := range loads {
		if got, least := worthShare(curves["current"][n]), worthShare(curves["baseline"][n]); got < least-noise {
			t.Errorf("at a load of %.2f the answers are worth %.3f of all, the baseline's %.3f", load, got, least)
		}
	}
	if *plots != "" {
		draw(t, curves, (duration - warm).Seconds())
	}
}

// worthShare returns what the answers are worth, as a part of what all could be.
func worthShare(s summary) float64 { return s.worth / float64(max(s.asked, 1)) }

// draw writes a plot for each of what was answered in its aim, how long answers took and what was refused.
func draw(t *testing.T, curves map[string][]summary, seconds float64) {
	t.Helper()
	views := map[string]struct {
		label string
		value func(s summary) float64
	}{
		"worth":   {"worth of the answers, as a part of all", worthShare},
		"goodput": {"answered in their aim, each second", func(s summary) float64 { return float64(s.inAim) / seconds }},
		"waiting": {"time to the answer at the 95th percentile, ms", func(s summary) float64 { return float64(s.p95.Milliseconds()) }},
		"refused": {"refused for good, each second", func(s summary) float64 { return float64(s.refused) / seconds }},
	}
	if err := os.MkdirAll(*plots, 0o755); err != nil {
		t.Fatal(err)
	}
	for name, view := range views {
		p := plot.New()
		p.X.Label.Text, p.Y.Label.Text = "load, as a part of what the slots can do", view.label
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
