package postgres

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

const (
	statusQuery = "SELECT pg_is_in_recovery()," +
		" current_setting('siskincove.fence', true)," +
		" (SELECT max(term) FROM siskincove.term)," +
		" CASE WHEN pg_is_in_recovery() THEN pg_last_wal_receive_lsn() ELSE pg_current_wal_lsn() END," +
		" CASE WHEN pg_is_in_recovery() THEN pg_last_wal_replay_lsn() ELSE pg_current_wal_lsn() END," +
		" EXISTS (SELECT 1 FROM pg_stat_wal_receiver WHERE status = 'streaming')," +
		" current_setting('default_transaction_read_only')," +
		" current_setting('primary_conninfo')," +
		" current_setting('siskincove.logterm', true)"
	positionQuery = "SELECT (SELECT max(term) FROM siskincove.term), pg_current_wal_insert_lsn()"
	statusColumns = 9
)

func parseStatus(row endpoint.Row) (endpoint.Status, error) {
	if len(row) != statusColumns {
		return endpoint.Status{}, errors.New("unexpected number of columns in the recovery status")
	}
	fenced, err := parseTerm(row[1])
	if err != nil {
		return endpoint.Status{}, err
	}
	term, err := parseTerm(row[2])
	if err != nil {
		return endpoint.Status{}, err
	}
	recorded, err := parseTerm(row[8])
	if err != nil {
		return endpoint.Status{}, err
	}
	received, err := parseLSN(row[3])
	if err != nil {
		return endpoint.Status{}, err
	}
	replayed, err := parseLSN(row[4])
	if err != nil {
		return endpoint.Status{}, err
	}
	return endpoint.Status{
		Role:      parseRole(row[0] == "t", row[6] == "on", row[7] != ""),
		Fenced:    endpoint.FencedTerm(fenced),
		Log:       endpoint.Position{Term: endpoint.LogTerm(max(term, recorded)), Offset: received},
		Applied:   endpoint.Position{Term: endpoint.LogTerm(term), Offset: replayed},
		Receiving: row[5] == "t",
	}, nil
}

func parseRole(recovering, readOnly, following bool) endpoint.Role {
	switch {
	case recovering && following:
		return endpoint.Replica
	case !recovering && !readOnly:
		return endpoint.Primary
	default:
		return endpoint.Stopped
	}
}

// parseLSN parses a log sequence number, which is written as two hexadecimal halves, high/low. An empty text gives 0.
func parseLSN(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	high, low, found := strings.Cut(text, "/")
	if !found {
		return 0, errors.Newf("log sequence number %q has no slash", text)
	}
	h, err := strconv.ParseUint(high, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "parsing a log sequence number")
	}
	l, err := strconv.ParseUint(low, 16, 32)
	if err != nil {
		return 0, errors.Wrap(err, "parsing a log sequence number")
	}
	return h<<32 | l, nil
}
