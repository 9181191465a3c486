package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincove/verdict"
)

const (
	histogramMaximum = int64(5 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	faultsMaximum    = 20
)

// tally collects what happened.
type tally struct {
	mu        sync.Mutex
	latencies map[string]*hdrhistogram.Histogram
	done      map[string]int64
	verdicts  map[refusal]int64
	faults    []fault
	faultsAll int64
	other     map[string]int64
}

// refusal is an answer with a verdict.
type refusal struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

func newTally() *tally {
	return &tally{
		latencies: make(map[string]*hdrhistogram.Histogram),
		done:      make(map[string]int64),
		verdicts:  make(map[refusal]int64),
		other:     make(map[string]int64),
	}
}

func (t *tally) succeed(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, histogramMaximum, histogramDigits)
		t.latencies[name] = h
	}
	_ = h.RecordValue(max(took.Microseconds(), 1))
	t.done[name]++
}

func (t *tally) refuse(r refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[r]++
}

func (t *tally) fail(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.other[text]++
}

func (t *tally) report(faults []fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faultsAll += int64(len(faults))
	room := max(faultsMaximum-len(t.faults), 0)
	t.faults = append(t.faults, faults[:min(len(faults), room)]...)
}

// counts returns how many operations succeeded and how many were refused or failed.
func (t *tally) counts() (int64, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	done, not := int64(0), int64(0)
	for _, n := range t.done {
		done += n
	}
	for _, n := range t.verdicts {
		not += n
	}
	for _, n := range t.other {
		not += n
	}
	return done, not
}
