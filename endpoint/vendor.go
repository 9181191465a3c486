package endpoint

import "context"

// Row is one row of a text result.
type Row []string

// Querier runs a single statement on an endpoint and returns its rows in text form.
type Querier interface {
	Query(ctx context.Context, sql string) ([]Row, error)
}

// Vendor queries and controls the endpoints of one kind of database.
type Vendor interface {
	// Name returns the vendor's name in endpoint objects of the configuration.
	Name() string
	// Status queries the endpoint's role, terms and positions.
	Status(ctx context.Context, q Querier) (Status, error)
	// Fence makes the endpoint promise term, stop replicating and refuse writes. It fails unless term is above the promised
	// one.
	Fence(ctx context.Context, q Querier, term FencedTerm) (Status, error)
	// Promote makes the endpoint primary under term, which it must have promised.
	Promote(ctx context.Context, q Querier, term FencedTerm) (Status, error)
	// Follow makes the endpoint replicate from primary, an IP:port, under term. It fails if a higher term was promised.
	Follow(ctx context.Context, q Querier, term FencedTerm, primary string) (Status, error)
	// PositionQuery returns a statement whose single row gives a position at or past the connection's last commit.
	PositionQuery() string
	// ParsePosition parses the row of PositionQuery.
	ParsePosition(row Row) (Position, error)
}

// LogTermRecorder is a vendor whose replicas learn the term of a received record only when they apply it. RecordLogTerm
// lets them know it earlier.
type LogTermRecorder interface {
	// RecordLogTerm makes the endpoint record that its log has reached the term of position, which is a position in the log
	// of that term's primary. It fails unless the endpoint has promised exactly this term, is receiving and has received
	// the log up to position.
	RecordLogTerm(ctx context.Context, q Querier, position Position) (Status, error)
}
