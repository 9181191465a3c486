package pool

import (
	"context"
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"
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
	// prepared holds the statements that were run before on the connection; those run once are nil.
	prepared map[string]*pgconn.StatementDescription
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
		l.prepared = make(map[string]*pgconn.StatementDescription)
	}
	status, err := work(querier{conn: l.conn, prepared: l.prepared})
	if err != nil {
		l.dropLocked()
	}
	return status, err
}

// querier runs statements of vendors on a connection, those that come again as prepared ones, which cost a fifth of the
// bytes.
type querier struct {
	conn     *pgconn.PgConn
	prepared map[string]*pgconn.StatementDescription
}

// Query runs one statement and returns its rows in text form.
func (q querier) Query(ctx context.Context, sql string) ([]endpoint.Row, error) {
	description, again := q.prepared[sql]
	if !again {
		q.prepared[sql] = nil
		return q.once(ctx, sql)
	}
	if description == nil {
		var err error
		if description, err = q.conn.Prepare(ctx, fmt.Sprintf("p%016x", xxhash.Sum64String(sql)), sql, nil); err != nil {
			return nil, err
		}
		q.prepared[sql] = description
	}
	result := q.conn.ExecStatement(ctx, description, nil, nil, nil).Read()
	return textRows(result.Rows), result.Err
}

// once runs a statement that may not come again, as a simple query.
func (q querier) once(ctx context.Context, sql string) ([]endpoint.Row, error) {
	results, err := q.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var out []endpoint.Row
	for _, result := range results {
		out = append(out, textRows(result.Rows)...)
	}
	return out, nil
}

func textRows(rows [][][]byte) []endpoint.Row {
	out := make([]endpoint.Row, 0, len(rows))
	for _, values := range rows {
		row := make(endpoint.Row, 0, len(values))
		for _, value := range values {
			row = append(row, string(value))
		}
		out = append(out, row)
	}
	return out
}
