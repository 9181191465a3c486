package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/statement"
	"siskincove/verdict"
)

// counters are the dispatcher's metrics.
type counters struct{}

func newCounters() *counters { return &counters{} }

// answered counts a request and its latency by what became of it.
func (*counters) answered(kind statement.Kind, failure *verdict.Error, took time.Duration) {
	outcome := "served"
	if failure != nil {
		outcome = string(failure.Reason)
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskincove_request_seconds{kind=%q,outcome=%q}`, kind.String(), outcome)).Update(took.Seconds())
}

// attempted counts what an endpoint made of a statement.
func (*counters) attempted(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_attempts_total{outcome=%q}`, reason)).Inc()
}
