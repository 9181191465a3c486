package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/verdict"
)

// counters are the entry's metrics.
type counters struct {
	set      *metrics.Set
	replica  *metrics.Counter
	primary  *metrics.Counter
	writes   *metrics.Counter
	retries  *metrics.Counter
	barriers *metrics.Counter
	duration *metrics.Histogram
}

func newCounters() *counters {
	set := metrics.NewSet()
	metrics.RegisterSet(set)
	return &counters{
		set:      set,
		replica:  set.NewCounter(`siskincove_reads_total{endpoint="replica"}`),
		primary:  set.NewCounter(`siskincove_reads_total{endpoint="primary"}`),
		writes:   set.NewCounter(`siskincove_writes_total`),
		retries:  set.NewCounter(`siskincove_retries_total`),
		barriers: set.NewCounter(`siskincove_barriers_total`),
		duration: set.NewHistogram(`siskincove_request_seconds`),
	}
}

func (c *counters) refused(e *verdict.Error) {
	c.set.GetOrCreateCounter(fmt.Sprintf(`siskincove_refusals_total{verdict=%q,reason=%q}`, e.Verdict, e.Reason)).Inc()
}

func (c *counters) served(write, primary bool, took time.Duration) {
	switch {
	case write:
		c.writes.Inc()
	case primary:
		c.primary.Inc()
	default:
		c.replica.Inc()
	}
	c.duration.Update(took.Seconds())
}
