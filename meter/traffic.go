package meter

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Flow is the traffic for a purpose with ends at a distance.
type Flow struct {
	Purpose  string
	Distance Distance
}

// Amount is how much of a Flow there was.
type Amount struct {
	// Count is the number of frames, rows or connections, depending on the purpose.
	Count int64
	Bytes int64
}

// flowCounter holds the counts of one Flow, for Traffic.Totals and for the metrics.
type flowCounter struct {
	count, bytes             atomic.Int64
	countMetric, bytesMetric *metrics.Counter
}

// Traffic counts what an instance sends and receives on the connections that it opened, by purpose and distance. A nil
// Traffic counts nothing.
type Traffic struct {
	// counters maps each Flow to its *flowCounter.
	counters sync.Map
}

// NewTraffic returns a Traffic without any counts.
func NewTraffic() *Traffic { return &Traffic{} }

// Add counts bytes, and count frames, rows or connections, also in the metrics siskincove_traffic_bytes_total and
// siskincove_traffic_count_total.
func (t *Traffic) Add(flow Flow, count, bytes int) {
	if t == nil {
		return
	}
	c := t.counter(flow)
	c.count.Add(int64(count))
	c.bytes.Add(int64(bytes))
	c.countMetric.Add(count)
	c.bytesMetric.Add(bytes)
}

func (t *Traffic) counter(flow Flow) *flowCounter {
	if known, ok := t.counters.Load(flow); ok {
		return known.(*flowCounter)
	}
	labels := fmt.Sprintf(`{purpose=%q,distance=%q}`, flow.Purpose, string(flow.Distance))
	added, _ := t.counters.LoadOrStore(flow, &flowCounter{
		countMetric: metrics.GetOrCreateCounter("siskincove_traffic_count_total" + labels),
		bytesMetric: metrics.GetOrCreateCounter("siskincove_traffic_bytes_total" + labels),
	})
	return added.(*flowCounter)
}

// Totals returns what has been counted so far.
func (t *Traffic) Totals() map[Flow]Amount {
	out := make(map[Flow]Amount)
	if t == nil {
		return out
	}
	t.counters.Range(func(key, value any) bool {
		c := value.(*flowCounter)
		out[key.(Flow)] = Amount{Count: c.count.Load(), Bytes: c.bytes.Load()}
		return true
	})
	return out
}
