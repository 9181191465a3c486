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

// Latency compares statements through the system with statements sent directly to the stand-in and through a byte relay.
type Latency struct {
	Rounds     int
	Statements int
	Sessions   int
	Level      string
}

// callPath is a network path from a caller to an endpoint, with its results for each round.
type callPath struct {
	name            string
	url             string
	processes       []*cluster.Process
	medians         []time.Duration
	cpuPerStatement []time.Duration
	rates           []float64
}

// Run prints a table of latency medians, throughput and CPU time per statement.
func (l Latency) Run(ctx context.Context, w io.Writer) error {
	deployment := Deployment{
		Name: "loopback", Service: "certstore", Regions: []string{"r0"}, Databases: []string{"cert1"}, Slots: 64, Connections: 300,
	}
	s, err := startLoopback(ctx, deployment, l.Level)
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

// startLoopback starts two instances in one failure domain without delays.
func startLoopback(ctx context.Context, d Deployment, level string) (*RunningDeployment, error) {
	s := &RunningDeployment{deployment: d, variant: Variant{Reads: "replica"}}
	var err error
	if s.directory, err = makeTempDir(); err != nil {
		return nil, err
	}
	if err := cluster.Build(".", s.directory); err != nil {
		return nil, err
	}
	o := s.clusterOptions(2)
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
	pause(ctx, startPause)
	return s, err
}

// paths returns the paths to compare: to the stand-in's replica directly and through the relay, and through each instance,
// of which one owns the endpoint and the other does not. The returned function stops the relay.
func (l Latency) paths(ctx context.Context, s *RunningDeployment) ([]*callPath, func(), error) {
	group := s.Groups[0]
	direct := load.URL(group.Endpoints[1], "siskincove", "", "cert1")
	relay, address, err := s.StartRelay(group.Endpoints[1])
	if err != nil {
		return nil, nil, err
	}
	out := []*callPath{
		{name: "direct to the stand-in", url: direct},
		{name: "bare byte relay", url: load.URL(address, "siskincove", "", "cert1"), processes: []*cluster.Process{relay}},
	}
	for n, i := range s.Instances {
		url := load.URL(i.Callers, callerName, password, "certstore/cert1")
		name := fmt.Sprintf("through instance %d", n)
		p := &callPath{name: name, url: url}
		for _, other := range s.Instances {
			p.processes = append(p.processes, other.Process)
		}
		out = append(out, p)
	}
	return out, relay.Kill, l.insertRow(ctx, out)
}

// insertRow writes the row that the measured statements read, through the last path.
func (l Latency) insertRow(ctx context.Context, paths []*callPath) error {
	conn, err := pgx.Connect(ctx, paths[len(paths)-1].url)
	if err != nil {
		return errors.Wrap(err, "connect to insert the row to read")
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO records (key, value) VALUES ($1, $2)", "k", "v")
	return errors.Wrap(err, "insert the row to read")
}

func totalCPU(processes []*cluster.Process) (time.Duration, error) {
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

// measure takes the latency of statements on one session, then the throughput and the CPU time of many sessions at once.
func (l Latency) measure(ctx context.Context, p *callPath) error {
	times, err := l.timeStatements(ctx, p.url, l.Statements)
	if err != nil {
		return err
	}
	p.medians = append(p.medians, quantile(times, 0.5))
	before, err := totalCPU(p.processes)
	if err != nil {
		return err
	}
	started := time.Now()
	if err := l.runSessions(ctx, p.url); err != nil {
		return err
	}
	took := time.Since(started)
	after, err := totalCPU(p.processes)
	if err != nil {
		return err
	}
	statements := l.Sessions * l.Statements
	p.rates = append(p.rates, float64(statements)/took.Seconds())
	p.cpuPerStatement = append(p.cpuPerStatement, (after-before)/time.Duration(statements))
	return nil
}

func (l Latency) runSessions(ctx context.Context, url string) error {
	errs := make([]error, l.Sessions)
	var wait sync.WaitGroup
	for n := range l.Sessions {
		wait.Go(func() { _, errs[n] = l.timeStatements(ctx, url, l.Statements) })
	}
	wait.Wait()
	return errors.Join(errs...)
}

func (l Latency) timeStatements(ctx context.Context, url string, n int) ([]time.Duration, error) {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }()
	out := make([]time.Duration, 0, n)
	for range n {
		started := time.Now()
		var value string
		if err := conn.QueryRow(ctx, "SELECT value FROM records WHERE key = $1", "k").Scan(&value); err != nil {
			return nil, err
		}
		out = append(out, time.Since(started))
	}
	return out, nil
}

func (l Latency) print(w io.Writer, paths []*callPath) {
	relay := paths[1]
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	line("%d rounds, %d statements per session, %d sessions for throughput, log level %s", l.Rounds, l.Statements, l.Sessions, l.Level)
	line("| path | median µs | added to direct µs | statements/s | CPU µs per statement | CPU ratio to the relay |")
	line("| --- | --- | --- | --- | --- | --- |")
	for _, p := range paths {
		median := quantile(p.medians, 0.5)
		cpu := quantile(p.cpuPerStatement, 0.5)
		line("| %s | %d | %d | %.0f | %.1f | %.1f |", p.name, median.Microseconds(),
			(median - quantile(paths[0].medians, 0.5)).Microseconds(), medianOf(p.rates),
			float64(cpu.Nanoseconds())/1000, float64(cpu)/float64(max(quantile(relay.cpuPerStatement, 0.5), 1)))
	}
}
