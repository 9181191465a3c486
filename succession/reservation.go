package succession

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// fenceTable holds the next free fencing token of each database.
const fenceTable = "fences"

// ReserveFence reserves a fencing token of a database in the store. The token is above all reserved before, and no other
// call gets it. If the store's answer is lost, the token may be reserved and is then never used.
func ReserveFence(ctx context.Context, rows store.Rows, database string) (uint64, error) {
	key := store.Key{Table: fenceTable, Key: database}
	row, err := store.Get(ctx, rows, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return 0, errors.Wrap(err, "reading the next fencing token")
	}
	next, version := uint64(1), row.Version
	if err == nil {
		if next, err = strconv.ParseUint(string(row.Value), 10, 64); err != nil {
			return 0, errors.Wrap(err, "parsing the stored fencing token")
		}
	}
	_, err = rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: key, Version: version}},
		Puts:   []store.Row{{Key: key, Value: strconv.AppendUint(nil, next+1, 10)}},
	})
	return next, errors.Wrap(err, "reserving a fencing token")
}
