package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"siskincove/load"
)

// Slopes measures the resources that an instance uses for each further caller, endpoint and instance, at three sizes each.
type Slopes struct {
	// Only is the quantity to vary: instances, databases or callers; empty varies all in turn.
	Only string
	// Interval is the time between status queries; a primary counts as lost after three intervals.
	Interval time.Duration
	// Window is how long the idle system is measured.
	Window time.Duration
}

// resourceUsage is the resource usage of an instance, as a mean over all instances.
type resourceUsage struct {
	// CPU is in cores, Peer and Probe in bytes per second, StatusQueries in queries per second and Resident in bytes.
	CPU           float64
	Peer          float64
	Probe         float64
	StatusQueries float64
	Resident      float64
}

// Run prints a line for each size and each slope.
func (f Slopes) Run(ctx context.Context, w io.Writer) error {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("| varied | size | CPU cores | peer bytes/s | probe bytes/s | status queries/s | resident MB |")
	line("| --- | --- | --- | --- | --- | --- | --- |")
	varied := []struct {
		name string
		run  func(context.Context, linePrinter) error
	}{{"instances", f.varyInstances}, {"databases", f.varyDatabases}, {"callers", f.varyCallers}}
	for _, v := range varied {
		if f.Only != "" && f.Only != v.name {
			continue
		}
		if err := v.run(ctx, line); err != nil {
			return errors.Wrap(err, v.name)
		}
	}
	return nil
}

// variant returns the default settings with the interval.
func (f Slopes) variant() Variant {
	v := DefaultSettings
	v.Settings = fmt.Sprintf("\n[failover]\ninterval = %q\nsilence = %q\nstagger = %q\n", f.Interval, 3*f.Interval, 3*f.Interval)
	return v
}

type linePrinter func(format string, args ...any)

// varyInstances varies the number of instances in front of one database.
func (f Slopes) varyInstances(ctx context.Context, line linePrinter) error {
	for _, n := range []int{3, 9, 21} {
		if _, err := f.measureSize(ctx, line, "instances, 1 database", n, 1, n); err != nil {
			return err
		}
	}
	return nil
}

// measureSize measures and prints one size of the varied quantity.
func (f Slopes) measureSize(ctx context.Context, line linePrinter, varied string, size, databases, instances int) (resourceUsage, error) {
	s, err := Start(ctx, smallDeployment(databases), f.variant(), instances)
	if err != nil {
		return resourceUsage{}, err
	}
	defer s.Close()
	got, err := f.measureIdle(ctx, s)
	if err == nil {
		got.print(line, varied, size)
	}
	return got, err
}

// varyDatabases varies the number of databases behind three instances, each of which owns one endpoint of each database.
func (f Slopes) varyDatabases(ctx context.Context, line linePrinter) error {
	sizes := []int{1, 6, 12}
	var all []resourceUsage
	for _, n := range sizes {
		got, err := f.measureSize(ctx, line, "databases, 3 instances", n, n, 3)
		if err != nil {
			return err
		}
		all = append(all, got)
	}
	last := len(all) - 1
	added := float64(sizes[last] - sizes[0])
	line("| slope per database (one endpoint owned, one coordinator rank) | | %.5f | %.0f | %.0f | %.2f | %.2f |",
		(all[last].CPU-all[0].CPU)/added, (all[last].Peer-all[0].Peer)/added, (all[last].Probe-all[0].Probe)/added,
		(all[last].StatusQueries-all[0].StatusQueries)/added, (all[last].Resident-all[0].Resident)/added/(1<<20))
	return nil
}

// varyCallers varies the number of idle sessions on one instance.
func (f Slopes) varyCallers(ctx context.Context, line linePrinter) error {
	s, err := Start(ctx, smallDeployment(1), f.variant(), 3)
	if err != nil {
		return err
	}
	defer s.Close()
	pause(ctx, startPause)
	var conns []*pgx.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close(ctx)
		}
	}()
	var sizes []int
	var resident []float64
	for _, n := range []int{200, 1000, 2600} {
		for len(conns) < n {
			conn, err := pgx.Connect(ctx, load.URL(s.Instances[0].Callers, callerName, password, s.deployment.Service))
			if err != nil {
				return err
			}
			conns = append(conns, conn)
			if _, err := conn.Exec(ctx, "SELECT value FROM records WHERE key = $1", "k"); err != nil {
				return err
			}
		}
		pause(ctx, 2*time.Second)
		u, err := s.Instances[0].Process.Usage()
		if err != nil {
			return err
		}
		line("| idle callers of one instance | %d | | | | | %.1f |", n, float64(u.Resident)/(1<<20))
		sizes, resident = append(sizes, n), append(resident, float64(u.Resident))
	}
	last := len(sizes) - 1
	line("| slope per caller, KB | | | | | | %.1f |", (resident[last]-resident[0])/float64(sizes[last]-sizes[0])/1024)
	return nil
}

// smallDeployment returns a deployment of n databases in three regions without network delays.
func smallDeployment(n int) Deployment {
	d := Kelloviisari
	d.Databases = nil
	d.DomainDelay, d.RegionDelay = 0, 0
	for i := range n {
		d.Databases = append(d.Databases, fmt.Sprintf("db%d", i))
	}
	return d
}

// measureIdle returns the mean usage of the instances during the window, without any connected caller.
func (f Slopes) measureIdle(ctx context.Context, s *RunningDeployment) (resourceUsage, error) {
	pause(ctx, startPause)
	before, err := totalUsage(s)
	if err != nil {
		return resourceUsage{}, err
	}
	pause(ctx, f.Window)
	after, err := totalUsage(s)
	if err != nil {
		return resourceUsage{}, err
	}
	instanceSeconds := float64(len(s.Instances)) * f.Window.Seconds()
	return resourceUsage{
		CPU: (after.CPU - before.CPU) / instanceSeconds, Peer: (after.Peer - before.Peer) / instanceSeconds, Probe: (after.Probe - before.Probe) / instanceSeconds,
		StatusQueries: (after.StatusQueries - before.StatusQueries) / instanceSeconds, Resident: after.Resident / float64(len(s.Instances)),
	}, nil
}

// totalUsage returns the sum of what all instances have used since they started: CPU in seconds, and totals in place of the
// rates.
func totalUsage(s *RunningDeployment) (resourceUsage, error) {
	var out resourceUsage
	for _, i := range s.Instances {
		u, err := i.Process.Usage()
		if err != nil {
			return out, err
		}
		out.CPU += u.CPU.Seconds()
		out.Resident += float64(u.Resident)
		counters, err := readCounters(i.Health)
		if err != nil {
			return out, err
		}
		out.Peer += counters[`siskincove_peer_bytes_total{direction="out"}`]
		out.Probe += counters["siskincove_probe_bytes_total"]
		out.StatusQueries += counters["siskincove_status_questions_total"]
	}
	return out, nil
}

func readCounters(address string) (map[string]float64, error) {
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer func() { _ = response.Body.Close() }()
	out := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		separator := strings.LastIndexByte(lines.Text(), ' ')
		if separator < 0 {
			continue
		}
		n, err := strconv.ParseFloat(lines.Text()[separator+1:], 64)
		if err == nil {
			out[lines.Text()[:separator]] = n
		}
	}
	return out, errors.Wrap(lines.Err(), "metrics")
}

func (s resourceUsage) print(line linePrinter, varied string, size int) {
	line("| %s | %d | %.4f | %.0f | %.0f | %.1f | %.1f |", varied, size, s.CPU, s.Peer, s.Probe, s.StatusQueries, s.Resident/(1<<20))
}
