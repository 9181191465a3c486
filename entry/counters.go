package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/verdict"
)

// counters holds the metrics of requests.
type counters struct {
	set          *metrics.Set
	replicaReads *metrics.Counter
	primaryReads *metrics.Counter
	writes       *metrics.Counter
	retries      *metrics.Counter
	// barriers counts the reads that asked the endpoints for a barrier first, since the session's token had no position.
	barriers *metrics.Counter
	duration *metrics.Histogram
}

func newCounters() *counters {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return &counters{
		set:          set,
		replicaReads: set.NewCounter(`siskincove_reads_total{endpoint="replica"}`),
		primaryReads: set.NewCounter(`siskincove_reads_total{endpoint="primary"}`),
		writes:       set.NewCounter(`siskincove_writes_total`),
		retries:      set.NewCounter(`siskincove_retries_total`),
		barriers:     set.NewCounter(`siskincove_barriers_total`),
		duration:     set.NewHistogram(`siskincove_request_seconds`),
	}
}

func (c *counters) countRefusal(e *verdict.Error) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`siskincove_refusals_total{verdict=%q,reason=%q}`, e.Verdict, e.Reason)).Inc()
}

func (c *counters) countServed(write, primary bool, elapsed time.Duration) {
	switch {
	case write:
		c.writes.Inc()
	case primary:
		c.primaryReads.Inc()
	default:
		c.replicaReads.Inc()
	}
	c.duration.Update(elapsed.Seconds())
}
