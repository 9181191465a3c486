package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	verifyTries = 5
	verifyPause = 500 * time.Millisecond
)

// Run loads the service until the duration has passed, then verifies what was acknowledged, and reports.
func Run(ctx context.Context, o Options) (Report, error) {
	l := &loader{options: o, tally: newTally(), random: rand.New(rand.NewPCG(o.Seed, 0))}
	before, err := scrape(ctx, o.Health)
	if err != nil {
		return Report{}, err
	}
	probing, stop := context.WithCancel(ctx)
	defer stop()
	if o.Probe > 0 {
		for _, route := range o.Main {
			l.probes = append(l.probes, NewProbe(probing, o, route))
		}
	}
	started := time.Now()
	l.run(ctx)
	took := time.Since(started)
	report := l.summary(took)
	stop()
	for _, p := range l.probes {
		<-p.Done()
	}
	after, err := scrape(ctx, o.Health)
	if err != nil {
		return Report{}, err
	}
	report.share(before, after)
	report.Unverified = l.verify(ctx)
	report.addFaults(l.tally)
	return report, nil
}

// loader is one run.
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
	l.arrive(ctx)
	for _, w := range l.workers {
		close(w.work)
	}
	sessions.Wait()
}

// arrive hands out operations at exponential intervals, and lets sessions move at the given share each minute.
func (l *loader) arrive(ctx context.Context) {
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
		l.hand(due)
		if time.Since(reported) >= time.Second {
			reported = reported.Add(time.Second)
			l.progress(time.Since(start))
		}
	}
}

func (l *loader) hand(due time.Time) {
	w := l.workers[l.random.IntN(len(l.workers))]
	moves := l.random.Float64() < l.options.Roam/60*float64(len(l.workers))/l.options.Rate
	select {
	case w.work <- arrival{due: due, moves: moves}:
	default:
		l.tally.fail("session's queue is full")
	}
}

func (l *loader) progress(elapsed time.Duration) {
	if l.options.Progress == nil {
		return
	}
	done, not := l.tally.counts()
	_, _ = fmt.Fprintf(l.options.Progress, "%4.0fs of %.0fs  done %d  refused or failed %d\n",
		elapsed.Seconds(), l.options.Duration.Seconds(), done, not)
}

// verify reads back everything that was written, and returns how many sessions could not be verified.
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
	defer w.leave()
	for range verifyTries {
		bounded, cancel := context.WithTimeout(ctx, w.options.Timeout)
		err := w.verify(bounded)
		cancel()
		if err == nil {
			return true
		}
		time.Sleep(verifyPause)
	}
	return false
}
