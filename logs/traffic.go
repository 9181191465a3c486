package logs

import (
	"siskincove/event"
	"siskincove/meter"
)

// Traffic sums the totals of traffic that instances have logged.
type Traffic struct {
	// ended holds the totals of instances that have started again since; last the latest of each running one.
	ended map[meter.Flow]meter.Amount
	last  map[string]map[meter.Flow]meter.Amount
}

// NewTraffic returns a sum without any instance.
func NewTraffic() *Traffic {
	return &Traffic{ended: make(map[meter.Flow]meter.Amount), last: make(map[string]map[meter.Flow]meter.Amount)}
}

// Add takes in a line. The lines of one instance have to be added in the order in which they were written.
func (t *Traffic) Add(e Entry) {
	switch e.Number {
	case event.Started.Number:
		addTotals(t.ended, t.last[e.Instance])
		delete(t.last, e.Instance)
	case event.TrafficCounted.Number:
		t.last[e.Instance] = meter.Parse(e.Field("flows"))
	}
}

// Totals returns the sums over all instances and all their starts, each up to its last line.
func (t *Traffic) Totals() map[meter.Flow]meter.Amount {
	out := make(map[meter.Flow]meter.Amount)
	addTotals(out, t.ended)
	for _, totals := range t.last {
		addTotals(out, totals)
	}
	return out
}

// addTotals adds totals to a sum.
func addTotals(sum, totals map[meter.Flow]meter.Amount) {
	for flow, amount := range totals {
		before := sum[flow]
		sum[flow] = meter.Amount{Count: before.Count + amount.Count, Bytes: before.Bytes + amount.Bytes}
	}
}
