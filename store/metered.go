package store

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/meter"
)

// Metered is Rows whose calls are counted in the metric siskincove_store_calls_total, by kind of call and by table. Calls, rows
// and the bytes of keys and values are also counted as traffic.
type Metered struct {
	rows    Rows
	traffic *meter.Traffic
}

// NewMetered returns rows with its calls and, unless traffic is nil, its rows counted.
func NewMetered(rows Rows, traffic *meter.Traffic) Metered {
	return Metered{rows: rows, traffic: traffic}
}

func countCall(call, table string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_store_calls_total{call=%q,table=%q}`, call, table)).Inc()
}

// countRows counts a call, and the rows that it sent or received.
func (m Metered) countRows(call, table string, rows []Row) {
	m.traffic.Add(meter.Flow{Purpose: "calls/" + call + "/" + table, Distance: meter.UnknownDistance}, 1, 0)
	bytes := 0
	for _, r := range rows {
		bytes += len(r.Key.Key) + len(r.Value)
	}
	m.traffic.Add(meter.Flow{Purpose: "rows/" + call + "/" + table, Distance: meter.UnknownDistance}, len(rows), bytes)
}

// Commit implements Rows. It counts the call under the table of the first change.
func (m Metered) Commit(ctx context.Context, t Transaction) (Version, error) {
	table := ""
	switch {
	case len(t.Puts) > 0:
		table = t.Puts[0].Key.Table
	case len(t.Deletes) > 0:
		table = t.Deletes[0].Table
	}
	countCall("commit", table)
	m.countRows("commit", table, t.Puts)
	return m.rows.Commit(ctx, t)
}

// Range implements Rows.
func (m Metered) Range(ctx context.Context, table, part, from, to string) (Page, error) {
	countCall("range", table)
	page, err := m.rows.Range(ctx, table, part, from, to)
	m.countRows("range", table, page.Rows)
	return page, err
}

// Follow implements Rows.
func (m Metered) Follow(ctx context.Context, table string, after Version, maxWait time.Duration) (Changes, error) {
	countCall("follow", table)
	changes, err := m.rows.Follow(ctx, table, after, maxWait)
	rows := make([]Row, 0, len(changes.Changes))
	for _, c := range changes.Changes {
		rows = append(rows, c.Row)
	}
	m.countRows("follow", table, rows)
	return changes, err
}
