package succession

import (
	"context"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// fenceTable holds the next free fencing token of each database.
const fenceTable = "fences"

// tokenNumberBits is how many bits of a fencing token hold the number that the store counts; the store's era is above them.
const tokenNumberBits = 32

// newToken returns the fencing token with a number in an era of the store. A store that was restored from a copy counts some
// numbers again, in a later era.
func newToken(era, number uint64) uint64 { return era<<tokenNumberBits | number }

// tokenEra and tokenNumber return the parts of a fencing token.
func tokenEra(token uint64) uint64    { return token >> tokenNumberBits }
func tokenNumber(token uint64) uint64 { return token & (1<<tokenNumberBits - 1) }

// ReserveFence reserves a fencing token of a database in the store. The token is above all reserved before, and no other
// call gets it, also if the store is restored from a copy or another writer has replaced the row by one that can't be read. If
// the store's answer is lost, the token may be reserved and is then never used.
func ReserveFence(ctx context.Context, rows store.Rows, database string) (uint64, error) {
	key := store.Key{Table: fenceTable, Key: database}
	row, err := store.Get(ctx, rows, key)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return 0, errors.Wrap(err, "reading the next fencing token")
	}
	next := uint64(1)
	if err == nil {
		next = nextNumber(row)
	}
	reserved, err := rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: key, Version: row.Version}},
		Puts:   []store.Row{{Key: key, Value: strconv.AppendUint(nil, next+1, 10)}},
	})
	if err != nil {
		return 0, errors.Wrap(err, "reserving a fencing token")
	}
	return newToken(reserved.Era(), next), nil
}

// nextNumber returns the number of the next fencing token. If the row holds none, as another writer has replaced it, that is the
// row's version plus one: each reservation has taken a version of its own, so fewer numbers have been reserved.
func nextNumber(row store.Row) uint64 {
	next, err := strconv.ParseUint(string(row.Value), 10, tokenNumberBits)
	if err != nil || next == 0 || next == 1<<tokenNumberBits-1 {
		return row.Version.Number() + 1
	}
	return next
}
