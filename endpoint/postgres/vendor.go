package postgres

import (
	"context"
	"fmt"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// Name is the vendor's name in endpoint objects of the configuration.
const Name = "postgres"

// fenceLock is the key of the advisory lock under which the promised term is checked and changed.
const fenceLock = 7315501

// clearPrimary runs before setFence, so that a crash in between never leaves an endpoint that has promised a term
// replicating from the primary of a lower one.
const (
	setFence     = "ALTER SYSTEM SET siskincove.fence = '%d'"
	clearPrimary = "ALTER SYSTEM SET primary_conninfo = ''"
)

// Vendor implements endpoint.Vendor for stock PostgreSQL.
type Vendor struct{}

// Name returns the vendor's name in endpoint objects of the configuration.
func (Vendor) Name() string { return Name }

// Status queries the recovery functions, the fence setting and the term table.
func (Vendor) Status(ctx context.Context, q endpoint.Querier) (endpoint.Status, error) {
	rows, err := q.Query(ctx, statusQuery)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "reading recovery status")
	}
	if len(rows) != 1 {
		return endpoint.Status{}, errors.New("unexpected number of rows in the recovery status")
	}
	return parseStatus(rows[0])
}

// Fence makes the endpoint read-only, detaches it from its primary and raises the fence setting to term.
func (v Vendor) Fence(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool { return s.Fenced < term }
	return v.withFenceLock(ctx, q, check, []string{
		"ALTER SYSTEM SET default_transaction_read_only = on",
		clearPrimary,
		"SELECT pg_reload_conf()",
		fmt.Sprintf(setFence, term),
	})
}

// Promote ends recovery under the promised term and writes the term's first record.
func (v Vendor) Promote(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool { return s.Fenced == term }
	return v.withFenceLock(ctx, q, check, []string{
		"SELECT pg_promote()",
		"ALTER SYSTEM SET default_transaction_read_only = off",
		"SELECT pg_reload_conf()",
		fmt.Sprintf("INSERT INTO siskincove.term (term) VALUES (%d) ON CONFLICT DO NOTHING", term),
	})
}

// Follow makes the endpoint replicate from the primary unless it has promised a higher term.
func (v Vendor) Follow(ctx context.Context, q endpoint.Querier, term endpoint.FencedTerm, primary string) (endpoint.Status, error) {
	host, port, err := net.SplitHostPort(primary)
	if err != nil {
		return endpoint.Status{}, errors.Wrap(err, "parsing the primary's address")
	}
	check := func(s endpoint.Status) bool { return s.Fenced <= term }
	return v.withFenceLock(ctx, q, check, []string{
		clearPrimary,
		"SELECT pg_reload_conf()",
		fmt.Sprintf(setFence, term),
		fmt.Sprintf("ALTER SYSTEM SET primary_conninfo = 'host=%s port=%s'", host, port),
		"SELECT pg_reload_conf()",
	})
}

// RecordLogTerm stores the term in a custom setting, so that the log's term is known before the term's record is replayed.
func (v Vendor) RecordLogTerm(ctx context.Context, q endpoint.Querier, position endpoint.Position) (endpoint.Status, error) {
	check := func(s endpoint.Status) bool {
		return uint64(s.Fenced) == uint64(position.Term) && s.Receiving && s.Log.Offset >= position.Offset
	}
	return v.withFenceLock(ctx, q, check, []string{
		fmt.Sprintf("ALTER SYSTEM SET siskincove.logterm = '%d'", position.Term),
		"SELECT pg_reload_conf()",
	})
}

// withFenceLock runs the statements under the fence lock if the status passes check, and returns the resulting status.
func (v Vendor) withFenceLock(ctx context.Context, q endpoint.Querier, check func(endpoint.Status) bool, statements []string) (endpoint.Status, error) {
	if _, err := q.Query(ctx, fmt.Sprintf("SELECT pg_advisory_lock(%d)", fenceLock)); err != nil {
		return endpoint.Status{}, errors.Wrap(err, "taking the fence lock")
	}
	status, err := v.runIf(ctx, q, check, statements)
	if _, unlockErr := q.Query(ctx, fmt.Sprintf("SELECT pg_advisory_unlock(%d)", fenceLock)); unlockErr != nil && err == nil {
		err = errors.Wrap(unlockErr, "releasing the fence lock")
	}
	return status, err
}

func (v Vendor) runIf(ctx context.Context, q endpoint.Querier, check func(endpoint.Status) bool, statements []string) (endpoint.Status, error) {
	status, err := v.Status(ctx, q)
	if err != nil {
		return status, err
	}
	if !check(status) {
		return status, errors.Newf("endpoint state does not allow the command: it has promised term %d and is %s at %s", status.Fenced, status.Role, status.Log)
	}
	for _, sql := range statements {
		if _, err := q.Query(ctx, sql); err != nil {
			return status, errors.Wrap(err, sql)
		}
	}
	return v.Status(ctx, q)
}

// PositionQuery returns the query of the log's term and insert position.
func (Vendor) PositionQuery() string { return positionQuery }

// ParsePosition parses the two columns of PositionQuery.
func (Vendor) ParsePosition(row endpoint.Row) (endpoint.Position, error) {
	if len(row) != 2 {
		return endpoint.Position{}, errors.New("unexpected number of columns in a position row")
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
	return term, errors.Wrap(err, "parsing a term")
}
