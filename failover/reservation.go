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

// Reservation is a range of terms that only one coordinator may use. It is an immutable value and never expires.
type Reservation struct {
	next endpoint.FencedTerm
	end  endpoint.FencedTerm
}

// Take returns the lowest reserved term above floor and the reservation without it, or false if none is left.
func (r Reservation) Take(floor endpoint.FencedTerm) (Reservation, endpoint.FencedTerm, bool) {
	term := max(r.next, floor+1)
	if term >= r.end {
		return r, 0, false
	}
	return Reservation{next: term + 1, end: r.end}, term, true
}

// Covers reports whether a reserved term above floor is left.
func (r Reservation) Covers(floor endpoint.FencedTerm) bool {
	_, _, ok := r.Take(floor)
	return ok
}

// termsTable is the table of reserved terms, with one row for each database.
const termsTable = "terms"

// termsRow is the value of a database's row: the lowest term not reserved yet, and the operation that stored it.
type termsRow struct {
	Next      uint64 `json:"next"`
	Operation string `json:"operation"`
}

// Reserve reserves the next terms above floor in the store. The operation must be unique to the call, so that a lost
// answer can be resolved by reading the row back. If the outcome stays unknown, Reserve fails and the terms stay unused.
func Reserve(ctx context.Context, rows store.Rows, database, operation string, floor endpoint.FencedTerm) (Reservation, error) {
	var reserved Reservation
	_, err := store.Update(ctx, rows, store.Key{Table: termsTable, Key: database}, func(before store.Row) ([]byte, error) {
		row := termsRow{}
		if len(before.Value) > 0 {
			if err := json.Unmarshal(before.Value, &row); err != nil {
				return nil, errors.Wrap(err, "decoding terms row")
			}
		}
		first := max(endpoint.FencedTerm(row.Next), floor+1)
		reserved = Reservation{next: first, end: first + reserveCount}
		return json.Marshal(termsRow{Next: uint64(reserved.end), Operation: operation})
	})
	if err != nil {
		return Reservation{}, errors.Wrapf(err, "reserving terms of %s", database)
	}
	return reserved, nil
}
