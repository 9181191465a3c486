package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/statement"
	"siskincove/verdict"
)

// countAnswer records a request and its latency, labelled with the outcome.
func countAnswer(kind statement.Kind, failure *verdict.Error, took time.Duration) {
	outcome := "served"
	if failure != nil {
		outcome = string(failure.Reason)
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskincove_request_seconds{kind=%q,outcome=%q}`, kind.String(), outcome)).Update(took.Seconds())
}

// countAttempt counts one attempt to run a statement at an endpoint, labelled with the outcome.
func countAttempt(outcome string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_attempts_total{outcome=%q}`, outcome)).Inc()
}
