package endpoint

import "context"

// Row is one row of a text result.
type Row []string

// Querier runs one statement and returns its rows in text form.
type Querier interface {
	Query(ctx context.Context, sql string) ([]Row, error)
}

// Vendor asks and tells the endpoints of one kind of database.
type Vendor interface {
	// Name is the vendor's name in endpoint objects.
	Name() string
	// Status asks the endpoint's role, terms and positions.
	Status(ctx context.Context, q Querier) (Status, error)
	// Fence makes the endpoint promise term, stop following and refuse writes; it fails unless term is higher than any promised.
	Fence(ctx context.Context, q Querier, term FencedTerm) (Status, error)
	// Promote makes the endpoint primary under term, which it must have promised.
	Promote(ctx context.Context, q Querier, term FencedTerm) (Status, error)
	// Follow makes the endpoint replicate from the leader, an IP:port, under term.
	Follow(ctx context.Context, q Querier, term FencedTerm, leader string) (Status, error)
	// PositionQuery is a statement whose single row gives a position at or past the connection's last commit.
	PositionQuery() string
	// ParsePosition reads the row of PositionQuery.
	ParsePosition(row Row) (Position, error)
}

// Marker is a vendor whose replicas learn the term of a received record only when they apply it. Its endpoints are told
// to remember the term earlier.
type LogTermRecorder interface {
	// Mark makes the endpoint remember that its log has come to the term of position, a place in the log of the primary
	// of that term; it fails unless the endpoint has promised just this term, receives under it and has received as far.
	RecordLogTerm(ctx context.Context, q Querier, position Position) (Status, error)
}
