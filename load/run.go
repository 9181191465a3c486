package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxVerifyAttempts = 5
	verifyRetryDelay  = 500 * time.Millisecond
)

// Run loads the service for the duration, reads all keys back to verify the acknowledged writes and returns a report.
func Run(ctx context.Context, o Options) (Report, error) {
	l := &loader{options: o, tally: newTally(), random: rand.New(rand.NewPCG(o.Seed, 0))}
	before, err := scrapeReads(ctx, o.Health)
	if err != nil {
		return Report{}, err
	}
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	if o.Probe > 0 {
		for _, route := range o.Main {
			l.probes = append(l.probes, NewProbe(probeCtx, o, route))
		}
	}
	started := time.Now()
	l.run(ctx)
	took := time.Since(started)
	report := l.newReport(took)
	stop()
	for _, p := range l.probes {
		<-p.Done()
	}
	after, err := scrapeReads(ctx, o.Health)
	if err != nil {
		return Report{}, err
	}
	report.setReplicaShare(before, after)
	report.Unverified = l.verify(ctx)
	report.addViolations(l.tally)
	return report, nil
}

// loader holds the state of a load run.
type loader struct {
	options Options
	tally   *tally
	random  *rand.Rand
	workers []*worker
	probes  []*Probe
}

func (l *loader) run(ctx context.Context) {
	var sessions sync.WaitGroup
	for n := range l.options.Sessions {
		w := newWorker(l.options, l.tally, n)
		l.workers = append(l.workers, w)
		sessions.Go(func() { w.run(ctx) })
	}
	l.scheduleOperations(ctx)
	for _, w := range l.workers {
		close(w.arrivals)
	}
	sessions.Wait()
}

// scheduleOperations assigns operations to sessions at exponentially distributed intervals until the duration has passed, and
// makes sessions move to another instance at the rate of Options.Roam.
func (l *loader) scheduleOperations(ctx context.Context) {
	start := time.Now()
	due := start
	reported := start
	for {
		due = due.Add(time.Duration(l.random.ExpFloat64() / l.options.Rate * float64(time.Second)))
		if due.Sub(start) > l.options.Duration {
			return
		}
		if wait := time.Until(due); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
		l.assign(due)
		if time.Since(reported) >= time.Second {
			reported = reported.Add(time.Second)
			l.printProgress(time.Since(start))
		}
	}
}

func (l *loader) assign(due time.Time) {
	w := l.workers[l.random.IntN(len(l.workers))]
	move := l.random.Float64() < l.options.Roam/60*float64(len(l.workers))/l.options.Rate
	select {
	case w.arrivals <- arrival{due: due, move: move}:
	default:
		l.tally.recordFailure("session's queue is full")
	}
}

func (l *loader) printProgress(elapsed time.Duration) {
	if l.options.Progress == nil {
		return
	}
	succeeded, failed := l.tally.totals()
	_, _ = fmt.Fprintf(l.options.Progress, "%4.0fs of %.0fs  done %d  refused or failed %d\n",
		elapsed.Seconds(), l.options.Duration.Seconds(), succeeded, failed)
}

// verify reads back all written keys and returns the number of sessions that could not be verified.
func (l *loader) verify(ctx context.Context) int {
	var sessions sync.WaitGroup
	var mu sync.Mutex
	unverified := 0
	for _, w := range l.workers {
		sessions.Go(func() {
			if !verifyWorker(ctx, w) {
				mu.Lock()
				defer mu.Unlock()
				unverified++
			}
		})
	}
	sessions.Wait()
	return unverified
}

func verifyWorker(ctx context.Context, w *worker) bool {
	defer w.closeConns()
	for range maxVerifyAttempts {
		bounded, cancel := context.WithTimeout(ctx, w.options.Timeout)
		err := w.verify(bounded)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(verifyRetryDelay)
	}
	return false
}
