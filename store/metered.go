package store

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metered is Rows whose calls are counted in the metric siskincove_store_calls_total, by kind of call and by table.
type Metered struct{ rows Rows }

// NewMetered returns rows with its calls counted.
func NewMetered(rows Rows) Metered { return Metered{rows: rows} }

func countCall(call, table string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`siskincove_store_calls_total{call=%q,table=%q}`, call, table)).Inc()
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
	return m.rows.Commit(ctx, t)
}

// Range implements Rows.
func (m Metered) Range(ctx context.Context, table, part, from, to string) (Page, error) {
	countCall("range", table)
	return m.rows.Range(ctx, table, part, from, to)
}

// Follow implements Rows.
func (m Metered) Follow(ctx context.Context, table string, after Version, maxWait time.Duration) (Changes, error) {
	countCall("follow", table)
	return m.rows.Follow(ctx, table, after, maxWait)
}
