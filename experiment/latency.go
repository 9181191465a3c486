package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"

	"siskincove/load"
	"siskincove/standin/cluster"
)

// Latency compares a statement through the system with one straight to the stand-in and one through a bare relay.
type Latency struct {
	Rounds     int
	Statements int
	Sessions   int
	Level      string
}

// path is one way from a caller to an endpoint.
type path struct {
	name      string
	url       string
	processes []*cluster.Process
	median    []time.Duration
	cpu       []time.Duration
	rate      []float64
}

// Run prints a table of medians, processor time a statement and statements a second.
func (l Latency) Run(ctx context.Context, w io.Writer) error {
	plain := Deployment{
		Name: "loopback", Service: "certstore", Regions: []string{"r0"}, Databases: []string{"cert1"}, Slots: 64, Connections: 300,
	}
	s, err := openPlain(ctx, plain, l.Level)
	if err != nil {
		return err
	}
	defer s.Close()
	paths, stop, err := l.paths(ctx, s)
	if err != nil {
		return err
	}
	defer stop()
	for round := range l.Rounds {
		for _, p := range paths {
			if err := l.measure(ctx, p); err != nil {
				return errors.Wrapf(err, "round %d, %s", round, p.name)
			}
		}
	}
	l.print(w, paths)
	return nil
}

// openPlain starts two instances in one failure domain without delays.
func openPlain(ctx context.Context, d Deployment, level string) (*RunningDeployment, error) {
	s := &RunningDeployment{deployment: d, variant: Variant{Reads: "replica"}}
	var err error
	if s.directory, err = temporary(); err != nil {
		return nil, err
	}
	if err := cluster.Build(".", s.directory); err != nil {
		return nil, err
	}
	o := s.options(2)
	o.Link, o.Level = false, level
	o.Groups[0].Work = 0
	if s.Cluster, err = cluster.Start(ctx, o); err != nil {
		return nil, err
	}
	if err := s.Publish(s.variant); err != nil {
		s.Close()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	err = s.WaitUsable(ctx, s.revision)
	pause(ctx, settlePause)
	return s, err
}

// paths sets up the ways: the stand-in's replica straight and by relay, and the system with the owner on the caller's
// instance and on another.
func (l Latency) paths(ctx context.Context, s *RunningDeployment) ([]*path, func(), error) {
	group := s.Groups[0]
	straight := load.URL(group.Endpoints[1], "siskincove", "", "cert1")
	relay, address, err := s.StartRelay(group.Endpoints[1])
	if err != nil {
		return nil, nil, err
	}
	out := []*path{
		{name: "straight to the stand-in", url: straight},
		{name: "bare byte relay", url: load.URL(address, "siskincove", "", "cert1"), processes: []*cluster.Process{relay}},
	}
	for n, i := range s.Instances {
		url := load.URL(i.Callers, caller, password, "certstore/cert1")
		name := fmt.Sprintf("entry on instance %d", n)
		p := &path{name: name, url: url}
		for _, other := range s.Instances {
			p.processes = append(p.processes, other.Process)
		}
		out = append(out, p)
	}
	return out, relay.Kill, l.prepare(ctx, out)
}

func (l Latency) prepare(ctx context.Context, paths []*path) error {
	conn, err := pgx.Connect(ctx, paths[len(paths)-1].url)
	if err != nil {
		return errors.Wrap(err, "preparing")
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO records (key, value) VALUES ($1, $2)", "k", "v")
	return errors.Wrap(err, "preparing")
}

func usage(processes []*cluster.Process) (time.Duration, error) {
	total := time.Duration(0)
	for _, p := range processes {
		u, err := p.Usage()
		if err != nil {
			return 0, err
		}
		total += u.CPU
	}
	return total, nil
}

// measure times statements one after the other on one session, then many sessions at once for the rate and the
// processor time.
func (l Latency) measure(ctx context.Context, p *path) error {
	times, err := l.statements(ctx, p.url, l.Statements)
	if err != nil {
		return err
	}
	p.median = append(p.median, quantile(times, 0.5))
	before, err := usage(p.processes)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := l.together(ctx, p.url); err != nil {
		return err
	}
	took := time.Since(started)
	after, err := usage(p.processes)
	if err != nil {
		return err
	}
	all := l.Sessions * l.Statements
	p.rate = append(p.rate, float64(all)/took.Seconds())
	p.cpu = append(p.cpu, (after-before)/time.Duration(all))
	return nil
}

func (l Latency) together(ctx context.Context, url string) error {
	errs := make([]error, l.Sessions)
	var wait sync.WaitGroup
	for n := range l.Sessions {
		wait.Go(func() { _, errs[n] = l.statements(ctx, url, l.Statements) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (l Latency) statements(ctx context.Context, url string, n int) ([]time.Duration, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	out := make([]time.Duration, 0, n)
	for range n {
		begun := time.Now()
		var value string
		if err := conn.QueryRow(ctx, "SELECT value FROM records WHERE key = $1", "k").Scan(&value); err != nil {
			return nil, err
		}
		out = append(out, time.Since(begun))
	}
	return out, nil
}

func (l Latency) print(w io.Writer, paths []*path) {
	relay := paths[1]
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%d rounds, %d statements a session, %d sessions for the rate, log level %s", l.Rounds, l.Statements, l.Sessions, l.Level)
	line("| path | median µs | added to straight µs | statements/s | CPU µs a statement | times the relay's |")
	line("| --- | --- | --- | --- | --- | --- |")
	for _, p := range paths {
		median := quantile(p.median, 0.5)
		cpu := quantile(p.cpu, 0.5)
		line("| %s | %d | %d | %.0f | %.1f | %.1f |", p.name, median.Microseconds(),
			(median - quantile(paths[0].median, 0.5)).Microseconds(), middle(p.rate),
			float64(cpu.Nanoseconds())/1000, float64(cpu)/float64(max(quantile(relay.cpu, 0.5), 1)))
	}
}
