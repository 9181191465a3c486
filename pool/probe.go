package pool

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/endpoint"
)

// probe is the reserved connections for status questions and for commands.
type probe struct {
	pool   *Pool
	status line
	orders line
}

// line is one reserved connection, opened when first used and again after a failure.
type line struct {
	mu   sync.Mutex
	conn *pgconn.PgConn
}

func newProbe(p *Pool) *probe { return &probe{pool: p} }

func (b *probe) close() {
	b.status.drop()
	b.orders.drop()
}

func (l *line) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropLocked()
}

func (l *line) dropLocked() {
	if l.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = l.conn.Close(ctx)
	l.conn = nil
}

// use runs work on the line's connection and closes the connection when that fails.
func (l *line) use(ctx context.Context, d *dialer, work func(endpoint.Querier) (endpoint.Status, error)) (endpoint.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		conn, err := d.plain(ctx)
		if err != nil {
			return endpoint.Status{}, errors.Wrap(err, "reserved connection")
		}
		l.conn = conn
	}
	status, err := work(querier{l.conn})
	if err != nil {
		l.dropLocked()
	}
	return status, err
}

// querier runs statements of vendors on a connection.
type querier struct {
	conn *pgconn.PgConn
}

// Query runs one statement and returns its rows in text form.
func (q querier) Query(ctx context.Context, sql string) ([]endpoint.Row, error) {
	results, err := q.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var out []endpoint.Row
	for _, result := range results {
		for _, row := range result.Rows {
			out = append(out, textRow(row))
		}
	}
	return out, nil
}

func textRow(row [][]byte) endpoint.Row {
	out := make(endpoint.Row, 0, len(row))
	for _, value := range row {
		out = append(out, string(value))
	}
	return out
}
