package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/statement"
	"siskincove/verdict"
)

// countAnswer counts a request and its latency by what became of it.
func countAnswer(kind statement.Kind, failure *verdict.Error, took time.Duration) {
	outcome := "served"
	if failure != nil {
		outcome = string(failure.Reason)
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskincove_request_seconds{kind=%q,outcome=%q}`, kind.String(), outcome)).Update(took.Seconds())
}

// countAttempt counts what an endpoint made of a statement.
func countAttempt(reason string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_attempts_total{outcome=%q}`, reason)).Inc()
}
