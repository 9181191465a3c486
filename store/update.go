package store

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// Get reads one row, or returns ErrAbsent.
func Get(ctx context.Context, rows Rows, key Key) (Row, error) {
	page, err := rows.Range(ctx, key.Table, key.Part, key.Key, after(key.Key))
	if err != nil {
		return Row{}, err
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return Row{}, ErrAbsent
}

// Scan reads all rows of a part from a key on, page by page; Version is that of the first page, so that a feed that
// resumes there misses nothing.
func Scan(ctx context.Context, rows Rows, table, part, from string) (Page, error) {
	whole, err := rows.Range(ctx, table, part, from, "")
	for more := whole.More; err == nil && more && len(whole.Rows) > 0; {
		var next Page
		next, err = rows.Range(ctx, table, part, after(whole.Rows[len(whole.Rows)-1].Key.Key), "")
		whole.Rows = append(whole.Rows, next.Rows...)
		more = next.More
	}
	whole.More = false
	return whole, err
}

// after returns the key that follows a key directly.
func after(key string) string { return key + "\x00" }

// Update reads the row at a key, lets edit make its next value and stores that if the row has not changed meanwhile. The
// values that edit returns must be unique to this update: a lost answer is settled by reading the row back.
// It returns the stored value. ErrConflict means that another writer's value stands there: if the answer was lost, this
// update may have been stored before that.
func Update(ctx context.Context, rows Rows, key Key, edit func(before Row) ([]byte, error)) ([]byte, error) {
	before, err := Get(ctx, rows, key)
	if err != nil && !errors.Is(err, ErrAbsent) {
		return nil, errors.Wrapf(err, "reading %s of %s", key.Key, key.Table)
	}
	value, err := edit(before)
	if err != nil {
		return nil, err
	}
	_, err = rows.Commit(ctx, Transaction{
		Expect: []Expectation{{Key: key, Version: before.Version}}, Puts: []Row{{Key: key, Value: value}},
	})
	if err == nil {
		return value, nil
	}
	return settle(ctx, rows, key, before, value, err)
}

// settle finds out whether a commit took effect. ErrConflict is no answer by itself: a call whose first try was lost on
// the way back meets its own row.
func settle(ctx context.Context, rows Rows, key Key, before Row, value []byte, failed error) ([]byte, error) {
	if errors.Is(failed, ErrRejected) {
		return nil, errors.Wrapf(failed, "writing %s of %s", key.Key, key.Table)
	}
	stored, err := Get(ctx, rows, key)
	switch {
	case err != nil && !errors.Is(err, ErrAbsent):
	case bytes.Equal(stored.Value, value):
		return value, nil
	case stored.Version != before.Version:
		return nil, errors.Wrapf(ErrConflict, "writing %s of %s", key.Key, key.Table)
	}
	return nil, errors.Wrapf(failed, "outcome of writing %s of %s is unknown", key.Key, key.Table)
}
