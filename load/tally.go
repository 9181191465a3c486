package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"siskincove/verdict"
)

const (
	maxLatencyMicros = int64(5 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	maxViolations    = 20
)

// tally collects the results of all sessions. It is safe for concurrent use.
type tally struct {
	mu             sync.Mutex
	latencies      map[string]*hdrhistogram.Histogram
	succeeded      map[string]int64
	refusals       map[refusal]int64
	violations     []violation
	violationCount int64
	failures       map[string]int64
}

// refusal is the verdict and reason of an operation that was refused or failed.
type refusal struct {
	verdict verdict.Verdict
	reason  verdict.Reason
}

func newTally() *tally {
	return &tally{
		latencies: make(map[string]*hdrhistogram.Histogram),
		succeeded: make(map[string]int64),
		refusals:  make(map[refusal]int64),
		failures:  make(map[string]int64),
	}
}

func (t *tally) recordSuccess(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.latencies[name]
	if !ok {
		h = hdrhistogram.New(1, maxLatencyMicros, histogramDigits)
		t.latencies[name] = h
	}
	_ = h.RecordValue(max(took.Microseconds(), 1))
	t.succeeded[name]++
}

func (t *tally) recordRefusal(r refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals[r]++
}

func (t *tally) recordFailure(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures[text]++
}

func (t *tally) addViolations(found []violation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.violationCount += int64(len(found))
	room := max(maxViolations-len(t.violations), 0)
	t.violations = append(t.violations, found[:min(len(found), room)]...)
}

// totals returns the number of operations that succeeded and the number that were refused or failed.
func (t *tally) totals() (int64, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	succeeded, failed := int64(0), int64(0)
	for _, n := range t.succeeded {
		succeeded += n
	}
	for _, n := range t.refusals {
		failed += n
	}
	for _, n := range t.failures {
		failed += n
	}
	return succeeded, failed
}
