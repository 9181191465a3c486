package postgres

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// Name is the vendor's name in endpoint objects.
const Name = "postgres"

// fenceLock is the advisory lock under which the fence is read and raised.
const fenceLock = 7315501

// The promise is written after the endpoint is detached, so that a crash between the two never leaves a promised endpoint following a lower term.
const (
	raise  = "ALTER SYSTEM SET siskincove.fence = '%d'"
	detach = "ALTER SYSTEM SET primary_conninfo = ''"
)

// Vendor is stock PostgreSQL's binding.
type Vendor struct{}

// Name is the vendor's name in endpoint objects.
func (Vendor) Name() string { return Name }

// Status asks the recovery functions, the fence setting and the term table.
func (Vendor) Status(ctx context.Context, q endpoint.Querier) (endpoint.Status, error) {
	rows, err := q.Query(ctx, statusQuery)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "reading recovery status")
	}
	if len(rows) != 1 {
		return endpoint.Status{}, errors.New("recovery status has an unexpected shape")
	}
	return parseStatus(rows[0])
}

// Fence raises the fence setting, detaches the endpoint from its primary and makes it read-only.
func (v Vendor) Fence(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool { return s.Fenced < term }
	return v.locked(ctx, q, check, []string{
		"ALTER SYSTEM SET default_transaction_read_only = on",
		detach,
		"SELECT pg_reload_conf()",
		fmt.Sprintf(raise, term),
	})
}

// Promote ends recovery under the promised term and writes the term's first record.
func (v Vendor) Promote(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool { return s.Fenced == term }
	return v.locked(ctx, q, check, []string{
		"SELECT pg_promote()",
		"ALTER SYSTEM SET default_transaction_read_only = off",
		"SELECT pg_reload_conf()",
		fmt.Sprintf("INSERT INTO siskincove.term (term) VALUES (%d) ON CONFLICT DO NOTHING", term),
	})
}

// Follow points the endpoint at the leader unless it has promised a higher term.
func (v Vendor) Follow(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm, leader string) (endpoint.Status, error) {
	host, port, err := net.SplitHostPort(leader)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "leader address")
	}
	check := func(s endpoint.Status) bool { return s.Fenced <= term }
	return v.locked(ctx, q, check, []string{
		detach,
		"SELECT pg_reload_conf()",
		fmt.Sprintf(raise, term),
		fmt.Sprintf("ALTER SYSTEM SET primary_conninfo = 'host=%s port=%s'", host, port),
		"SELECT pg_reload_conf()",
	})
}

// Mark keeps the term in a custom setting, so that the log's term is known before the term's record is replayed.
func (v Vendor) RecordLogTerm(ctx context.Context, q endpoint.Querier, position endpoint.Position) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool {
		return uint64(s.Fenced) == uint64(position.Term) && s.Receiving && s.Log.Offset >= position.Offset
	}
	return v.locked(ctx, q, check, []string{
		fmt.Sprintf("ALTER SYSTEM SET siskincove.logterm = '%d'", position.Term),
		"SELECT pg_reload_conf()",
	})
}

// locked runs the statements under the fence lock when the status passes check.
func (v Vendor) locked(ctx context.Context, q endpoint.Querier, check func(endpoint.Status) bool, statements []string) (endpoint.Status, error) {
	if _, err := q.Query(ctx, fmt.Sprintf("SELECT pg_advisory_lock(%d)", fenceLock)); err != nil {
		return endpoint.Status{}, errors.Wrap(err, "taking the fence lock")
	}
	status, err := v.checked(ctx, q, check, statements)
	if _, unlock := q.Query(ctx, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", fenceLock)); unlock != nil && err == nil {
		err = errors.Wrap(unlock, "releasing the fence lock")
	}
	return status, err
}

func (v Vendor) checked(ctx context.Context, q endpoint.Querier, check func(endpoint.Status) bool, statements []string) (endpoint.Status, error) {
	status, err := v.Status(ctx, q)
	if err != nil {
		return status, err
	}
	if !check(status) {
		return status, errors.Newf("endpoint refuses: it has promised term %d and is %s at %s", status.Fenced, status.Role, status.Log)
	}
	for _, sql := range statements {
		if _, err := q.Query(ctx, sql); err != nil {
			return status, errors.Wrap(err, sql)
		}
	}
	return v.Status(ctx, q)
}

// PositionQuery asks the term and the insert position of the log.
func (Vendor) PositionQuery() string { return positionQuery }

// ParsePosition reads the two columns of PositionQuery.
func (Vendor) ParsePosition(row endpoint.Row) (endpoint.Position, error) {
	if len(row) != 2 {
		return endpoint.Position{}, errors.New("position row has an unexpected shape")
	}
	term, err := parseTerm(row[0])
	if err != nil {
		return endpoint.Position{}, err
	}
	offset, err := parseLSN(row[1])
	return endpoint.Position{Term: endpoint.LogTerm(term), Offset: offset}, err
}

func parseTerm(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	term, err := strconv.ParseUint(text, 10, 64)
	return term, errors.Wrap(err, "term")
}
