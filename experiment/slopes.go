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

// Slopes measures what one more caller, endpoint and instance costs an instance, each at three sizes.
type Slopes struct {
	// Only names the one thing to vary: instances, databases or callers; empty varies each in turn.
	Only string
	// Interval is the time between status questions; a primary then counts as lost after three of them.
	Interval time.Duration
	// Window is how long an idle system is watched.
	Window time.Duration
}

// spent is what an instance used in a window, as means over the instances.
type spent struct {
	// CPU is the share of one core, Peer and Probe bytes a second, Questions status questions a second.
	CPU       float64
	Peer      float64
	Probe     float64
	Questions float64
	Resident  float64
}

// Run prints a line for each size and each slope.
func (f Slopes) Run(ctx context.Context, w io.Writer) error {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("| varied | size | CPU of a core | peer bytes/s | probe bytes/s | status questions/s | resident MB |")
	line("| --- | --- | --- | --- | --- | --- | --- |")
	varied := []struct {
		name string
		run  func(context.Context, printer) error
	}{{"instances", f.instances}, {"databases", f.databases}, {"callers", f.callers}}
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

// settings returns the variant with the interval.
func (f Slopes) settings() Variant {
	v := DefaultSettings
	v.Settings = fmt.Sprintf("\n[failover]\ninterval = %q\nsilence = %q\nstagger = %q\n", f.Interval, 3*f.Interval, 3*f.Interval)
	return v
}

type printer func(format string, args ...any)

// instances varies the number of instances before one database.
func (f Slopes) instances(ctx context.Context, line printer) error {
	for _, n := range []int{3, 9, 21} {
		if _, err := f.size(ctx, line, "instances, 1 database", n, 1, n); err != nil {
			return err
		}
	}
	return nil
}

// size measures one size of what is varied.
func (f Slopes) size(ctx context.Context, line printer, varied string, size, databases, instances int) (spent, error) {
	s, err := Start(ctx, small(databases), f.settings(), instances)
	if err != nil {
		return spent{}, err
	}
	defer s.Close()
	got, err := f.idle(ctx, s)
	if err == nil {
		got.print(line, varied, size)
	}
	return got, err
}

// databases varies the number of databases before three instances, so that each owns one endpoint of each.
func (f Slopes) databases(ctx context.Context, line printer) error {
	sizes := []int{1, 6, 12}
	var all []spent
	for _, n := range sizes {
		got, err := f.size(ctx, line, "databases, 3 instances", n, n, 3)
		if err != nil {
			return err
		}
		all = append(all, got)
	}
	last := len(all) - 1
	d := float64(sizes[last] - sizes[0])
	line("| slope for a database (one endpoint owned, one rank coordinated) | | %.5f | %.0f | %.0f | %.2f | %.2f |",
		(all[last].CPU-all[0].CPU)/d, (all[last].Peer-all[0].Peer)/d, (all[last].Probe-all[0].Probe)/d,
		(all[last].Questions-all[0].Questions)/d, (all[last].Resident-all[0].Resident)/d/(1<<20))
	return nil
}

// callers varies the number of idle sessions at one instance.
func (f Slopes) callers(ctx context.Context, line printer) error {
	s, err := Start(ctx, small(1), f.settings(), 3)
	if err != nil {
		return err
	}
	defer s.Close()
	pause(ctx, settlePause)
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
			conn, err := pgx.Connect(ctx, load.URL(s.Instances[0].Callers, caller, password, s.deployment.Service))
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
		line("| idle callers at one instance | %d | | | | | %.1f |", n, float64(u.Resident)/(1<<20))
		sizes, resident = append(sizes, n), append(resident, float64(u.Resident))
	}
	last := len(sizes) - 1
	line("| slope for a caller, in KB | | | | | | %.1f |", (resident[last]-resident[0])/float64(sizes[last]-sizes[0])/1024)
	return nil
}

// small is a deployment of n databases in three regions without delays.
func small(n int) Deployment {
	d := Kelloviisari
	d.Databases = nil
	d.DomainDelay, d.RegionDelay = 0, 0
	for i := range n {
		d.Databases = append(d.Databases, fmt.Sprintf("db%d", i))
	}
	return d
}

// idle watches the instances for the window while no caller is connected.
func (f Slopes) idle(ctx context.Context, s *RunningDeployment) (spent, error) {
	pause(ctx, settlePause)
	before, err := total(s)
	if err != nil {
		return spent{}, err
	}
	pause(ctx, f.Window)
	after, err := total(s)
	if err != nil {
		return spent{}, err
	}
	per := float64(len(s.Instances)) * f.Window.Seconds()
	return spent{
		CPU: (after.CPU - before.CPU) / per, Peer: (after.Peer - before.Peer) / per, Probe: (after.Probe - before.Probe) / per,
		Questions: (after.Questions - before.Questions) / per, Resident: after.Resident / float64(len(s.Instances)),
	}, nil
}

// total adds up what all instances have used so far.
func total(s *RunningDeployment) (spent, error) {
	var out spent
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
		out.Questions += counters["siskincove_status_questions_total"]
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
		cut := strings.LastIndexByte(lines.Text(), ' ')
		if cut < 0 {
			continue
		}
		n, err := strconv.ParseFloat(lines.Text()[cut+1:], 64)
		if err == nil {
			out[lines.Text()[:cut]] = n
		}
	}
	return out, errors.Wrap(lines.Err(), "metrics")
}

func (s spent) print(line printer, varied string, size int) {
	line("| %s | %d | %.4f | %.0f | %.0f | %.1f | %.1f |", varied, size, s.CPU, s.Peer, s.Probe, s.Questions, s.Resident/(1<<20))
}
