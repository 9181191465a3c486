package succession

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// fenceTable holds, for each database, the fencing token that is reserved next.
const fenceTable = "fences"

// Reserve takes a fencing token that no other instance has and that is above all taken before. When an answer is lost,
// the token that it may have taken is never used.
func ReserveFence(ctx context.Context, rows store.Rows, database string) (uint64, error) {
	key := store.Key{Table: fenceTable, Key: database}
	row, err := store.Get(ctx, rows, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return 0, errors.Wrap(err, "reading the next fencing token")
	}
	next, version := uint64(1), row.Version
	if err == nil {
		if next, err = strconv.ParseUint(string(row.Value), 10, 64); err != nil {
			return 0, errors.Wrap(err, "stored fencing token")
		}
	}
	_, err = rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: key, Version: version}},
		Puts:   []store.Row{{Key: key, Value: strconv.AppendUint(nil, next+1, 10)}},
	})
	return next, errors.Wrap(err, "reserving a fencing token")
}
