package connection

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// reportFailures counts the proxy's own steps that the endpoint failed, and logs them. The refusal of a begin is not logged, since an
// endpoint that is busy, lags or doesn't lead refuses it in the usual course; the statement is then tried elsewhere.
func (h *PooledConn) reportFailures(steps []statement.Step, answers []statement.Answer) {
	for i, a := range answers[:min(len(answers), len(steps))] {
		step := steps[i]
		if a.Failure == nil || step.ID != "" && a.Failure.Reason != verdict.Unprepared {
			continue
		}
		countFailedStep(step.Kind)
		if isBegin(step.Kind) && a.Failure.Verdict == verdict.NotRun {
			continue
		}
		h.pool.options.Logger.Log(event.ProxyStatementFailed, log.Fields{
			"endpoint": h.pool.options.Endpoint.Name, "kind": step.Kind.String(), "request": requestID(steps),
			"error": a.Failure.Error(), "unsent": len(steps) - len(answers),
		})
	}
}

func isBegin(k statement.Kind) bool { return k == statement.Begin || k == statement.BeginRead }

// requestID returns the ID of the caller's statement among the steps, empty if the proxy generated all of them.
func requestID(steps []statement.Step) string {
	for _, s := range steps {
		if s.ID != "" {
			return s.ID
		}
	}
	return ""
}

func countFailedStep(k statement.Kind) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_proxy_failures_total{kind=%q}`, k.String())).Inc()
}
