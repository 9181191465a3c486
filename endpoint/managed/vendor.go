package managed

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// Name is the vendor's name in endpoint objects of the configuration.
const Name = "managed"

const (
	statusQuery   = "SELECT role, fenced, log_term, log_offset, applied_term, applied_offset, receiving FROM managed.status"
	positionQuery = "SELECT log_term, log_offset FROM managed.status"
	statusColumns = 7
)

// Vendor implements endpoint.Vendor for the managed database.
type Vendor struct{}

// Name returns the vendor's name in endpoint objects of the configuration.
func (Vendor) Name() string { return Name }

// Status queries the status table.
func (Vendor) Status(ctx context.Context, q endpoint.Querier) (endpoint.Status, error) {
	rows, err := q.Query(ctx, statusQuery)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "reading managed.status")
	}
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return endpoint.Status{}, errors.New("unexpected number of rows or columns in managed.status")
	}
	return parseStatus(rows[0])
}

// Fence calls the fence procedure, which fails unless term is above the promised one.
func (v Vendor) Fence(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.fence(%d)", term))
}

// Promote calls the promote procedure, which fails unless term was promised.
func (v Vendor) Promote(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.promote(%d)", term))
}

// Follow calls the follow procedure, which fails if term is below the promised one.
func (v Vendor) Follow(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm, primary string) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.follow(%d, '%s')", term, primary))
}

func (v Vendor) call(ctx context.Context, q endpoint.Querier, sql string) (endpoint.Status, error) {
	if _, err := q.Query(ctx, sql); err != nil {
		return endpoint.Status{}, errors.Wrap(err, sql)
	}
	return v.Status(ctx, q)
}

// PositionQuery returns the query of the log position in the status table.
func (Vendor) PositionQuery() string { return positionQuery }

// ParsePosition parses the two columns of PositionQuery.
func (Vendor) ParsePosition(row endpoint.Row) (endpoint.Position, error) {
	if len(row) != 2 {
		return endpoint.Position{}, errors.New("unexpected number of columns in a position row")
	}
	return parsePosition(row[0], row[1])
}

func parseStatus(row endpoint.Row) (endpoint.Status, error) {
	fenced, err := strconv.ParseUint(row[1], 10, 64)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "parsing the promised term")
	}
	log, err := parsePosition(row[2], row[3])
	if err != nil {
		return endpoint.Status{}, err
	}
	applied, err := parsePosition(row[4], row[5])
	if err != nil {
		return endpoint.Status{}, err
	}
	return endpoint.Status{
		Role:      parseRole(row[0]),
		Fenced:    endpoint.FencedTerm(fenced),
		Log:       log,
		Applied:   applied,
		Receiving: row[6] == "t",
	}, nil
}

func parseRole(text string) endpoint.Role {
	switch text {
	case "primary":
		return endpoint.Primary
	case "replica":
		return endpoint.Replica
	default:
		return endpoint.Stopped
	}
}

func parsePosition(term, offset string) (endpoint.Position, error) {
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return endpoint.Position{}, errors.Wrap(err, "parsing a term")
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return endpoint.Position{}, errors.Wrap(err, "parsing an offset")
	}
	return endpoint.Position{Term: endpoint.LogTerm(t), Offset: o}, nil
}
