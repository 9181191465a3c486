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

// reservedConns holds the reserved connections of an endpoint: one for status queries and one for commands.
type reservedConns struct {
	pool     *Pool
	status   reservedConn
	commands reservedConn
}

// reservedConn is a connection that is opened on first use and reopened after a failure.
type reservedConn struct {
	mu   sync.Mutex
	conn *pgconn.PgConn
	// prepared maps each statement run on the connection to its description, which is nil until the statement is
	// prepared at its second run.
	prepared map[string]*pgconn.StatementDescription
}

func newReservedConns(p *Pool) *reservedConns { return &reservedConns{pool: p} }

func (r *reservedConns) close() {
	r.status.disconnect()
	r.commands.disconnect()
}

func (c *reservedConn) disconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnectLocked()
}

func (c *reservedConn) disconnectLocked() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}

// use runs query on the connection and closes the connection if it fails.
func (c *reservedConn) use(ctx context.Context, d *dialer, query func(endpoint.Querier) (endpoint.Status, error)) (endpoint.Status, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		conn, err := d.dialReserved(ctx)
		if err != nil {
			return endpoint.Status{}, errors.Wrap(err, "open reserved connection")
		}
		c.conn = conn
		c.prepared = make(map[string]*pgconn.StatementDescription)
	}
	status, err := query(querier{conn: c.conn, prepared: c.prepared})
	if err != nil {
		c.disconnectLocked()
	}
	return status, err
}

// querier runs a vendor's status queries and commands on a connection. Statements that run more than once are prepared,
// which reduces their traffic to a fifth.
type querier struct {
	conn     *pgconn.PgConn
	prepared map[string]*pgconn.StatementDescription
}

// Query runs one statement and returns its rows in text form.
func (q querier) Query(ctx context.Context, sql string) ([]endpoint.Row, error) {
	description, seen := q.prepared[sql]
	if !seen {
		q.prepared[sql] = nil
		return q.querySimple(ctx, sql)
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

// querySimple runs a statement as a simple query, without preparing it, since it may never run again.
func (q querier) querySimple(ctx context.Context, sql string) ([]endpoint.Row, error) {
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
