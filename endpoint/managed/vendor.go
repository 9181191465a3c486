package managed

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// Name is the vendor's name in endpoint objects.
const Name = "managed"

const (
	statusQuery   = "SELECT role, fenced, log_term, log_offset, applied_term, applied_offset, receiving FROM managed.status"
	positionQuery = "SELECT log_term, log_offset FROM managed.status"
	statusColumns = 7
)

// Vendor is the managed database's binding.
type Vendor struct{}

// Name is the vendor's name in endpoint objects.
func (Vendor) Name() string { return Name }

// Status reads the status table.
func (Vendor) Status(ctx context.Context, q endpoint.Querier) (endpoint.Status, error) {
	rows, err := q.Query(ctx, statusQuery)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "reading managed.status")
	}
	if len(rows) != 1 || len(rows[0]) != statusColumns {
		return endpoint.Status{}, errors.New("managed.status has an unexpected shape")
	}
	return parseStatus(rows[0])
}

// Fence calls the fence procedure, which refuses a term that is not higher.
func (v Vendor) Fence(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.fence(%d)", term))
}

// Promote calls the promote procedure, which refuses a term that was not promised.
func (v Vendor) Promote(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.promote(%d)", term))
}

// Follow calls the follow procedure, which refuses a term lower than the promised one.
func (v Vendor) Follow(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm, leader string) (endpoint.Status, error) {
	return v.call(ctx, q, fmt.Sprintf("CALL managed.follow(%d, '%s')", term, leader))
}

func (v Vendor) call(ctx context.Context, q endpoint.Querier, sql string) (endpoint.Status, error) {
	if _, err := q.Query(ctx, sql); err != nil {
		return endpoint.Status{}, errors.Wrap(err, sql)
	}
	return v.Status(ctx, q)
}

// PositionQuery reads the log position from the status table.
func (Vendor) PositionQuery() string { return positionQuery }

// ParsePosition reads the two columns of PositionQuery.
func (Vendor) ParsePosition(row endpoint.Row) (endpoint.Position, error) {
	if len(row) != 2 {
		return endpoint.Position{}, errors.New("position row has an unexpected shape")
	}
	return parsePosition(row[0], row[1])
}

func parseStatus(row endpoint.Row) (endpoint.Status, error) {
	fenced, err := strconv.ParseUint(row[1], 10, 64)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "fenced")
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
		return endpoint.Position{}, errors.Wrap(err, "term")
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return endpoint.Position{}, errors.Wrap(err, "offset")
	}
	return endpoint.Position{Term: endpoint.LogTerm(t), Offset: o}, nil
}
