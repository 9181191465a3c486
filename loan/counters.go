package loan

import "github.com/VictoriaMetrics/metrics"

// Borrowed connections that ended before they were unused, by cause.
var (
	loansCrowded  = metrics.NewCounter(`siskincove_loans_total{cause="crowded"}`)
	loansRefused  = metrics.NewCounter(`siskincove_loans_total{cause="refused"}`)
	loansReturned = metrics.NewCounter(`siskincove_loans_total{cause="return"}`)
)
