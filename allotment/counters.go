package allotment

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/verdict"
)

// countOperation records an operation that a caller wanted to start, labelled with the outcome, and how long it waited.
func countOperation(refused *verdict.Error, waited time.Duration) {
	outcome := "granted"
	if refused != nil {
		outcome = string(refused.Reason)
	}
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskincove_allotment_wait_seconds{outcome=%q}`, outcome)).Update(waited.Seconds())
}

// countDraw counts a request to an account, labelled with the outcome, and the operations that it granted.
func countDraw(a Ask, g Grant, err error) {
	outcome := "granted"
	switch {
	case err != nil:
		outcome = "silent"
	case g.Absent:
		outcome = "absent"
	case g.Granted == 0:
		outcome = "empty"
	case g.Granted < a.Wanted:
		outcome = "partial"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_draws_total{outcome=%q}`, outcome)).Inc()
	metrics.GetOrCreateCounter(`siskincove_granted_operations_total`).Add(g.Granted)
}
