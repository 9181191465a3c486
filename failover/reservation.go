package failover

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
	"siskincove/store"
)

// reserveCount is how many terms are reserved at a time.
const reserveCount = 4

// Reservation is terms that belong to one coordinator alone; it is an immutable value and never expires.
type Reservation struct {
	next endpoint.FencedTerm
	end  endpoint.FencedTerm
}

// Take returns the lowest reserved term above floor and the reservation without it; ok is false when there is none.
func (r Reservation) Take(floor endpoint.FencedTerm) (Reservation, endpoint.FencedTerm, bool) {
	term := max(r.next, floor+1)
	if term >= r.end {
		return r, 0, false
	}
	return Reservation{next: term + 1, end: r.end}, term, true
}

// Covers reports whether a term above floor is left.
func (r Reservation) Covers(floor endpoint.FencedTerm) bool {
	_, _, ok := r.Take(floor)
	return ok
}

// termsTable holds a row for each database.
const termsTable = "terms"

// termsRow is the value of a database's row: the first term that nobody has reserved, and who stored that.
type termsRow struct {
	Next      uint64 `json:"next"`
	Operation string `json:"operation"`
}

// Reserve takes the next terms above floor from the store; operation must be unique to the call. When the answer is lost and can't be settled the
// terms are left unused.
func Reserve(ctx context.Context, rows store.Rows, database, operation string, floor endpoint.FencedTerm) (Reservation, error) {
	var taken Reservation
	_, err := store.Update(ctx, rows, store.Key{Table: termsTable, Key: database}, func(before store.Row) ([]byte, error) {
		row := termsRow{}
		if len(before.Value) > 0 {
			if err := json.Unmarshal(before.Value, &row); err != nil {
				return nil, errors.Wrap(err, "terms row")
			}
		}
		first := max(endpoint.FencedTerm(row.Next), floor+1)
		taken = Reservation{next: first, end: first + reserveCount}
		return json.Marshal(termsRow{Next: uint64(taken.end), Operation: operation})
	})
	if err != nil {
		return Reservation{}, errors.Wrapf(err, "reserving terms of %s", database)
	}
	return taken, nil
}
