package store

import (
	"bytes"
	"context"

	"github.com/cockroachdb/errors"
)

// Get reads one row; it returns ErrAbsent if there is none.
func Get(ctx context.Context, rows Rows, key Key) (Row, error) {
	page, err := rows.Range(ctx, key.Table, key.Part, key.Key, nextKey(key.Key))
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

// Scan reads all rows of a part from a key on, page by page. Version is that of the first page, so that a feed resumed
// there misses no change.
func Scan(ctx context.Context, rows Rows, table, part, from string) (Page, error) {
	all, err := rows.Range(ctx, table, part, from, "")
	for more := all.More; err == nil && more && len(all.Rows) > 0; {
		var next Page
		next, err = rows.Range(ctx, table, part, nextKey(all.Rows[len(all.Rows)-1].Key.Key), "")
		all.Rows = append(all.Rows, next.Rows...)
		more = next.More
	}
	all.More = false
	return all, err
}

// nextKey returns the smallest key greater than key.
func nextKey(key string) string { return key + "\x00" }

// Update reads the row at a key, passes it to edit and stores the value that edit returns, unless the row has changed in the
// meantime. It returns the stored value. Each value that edit returns must be unique to the update: if the answer to the commit
// is lost, Update reads the row back and compares.
//
// ErrConflict means that the row holds another writer's value. If the answer was lost, this update may have been stored
// and then overwritten.
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
	return resolveOutcome(ctx, rows, key, before, value, err)
}

// resolveOutcome determines by reading the row back whether a failed commit took effect. ErrConflict alone does not tell:
// when the answer to a first attempt was lost, a repeated attempt conflicts with the row that the first one wrote.
func resolveOutcome(ctx context.Context, rows Rows, key Key, before Row, value []byte, commitErr error) ([]byte, error) {
	if errors.Is(commitErr, ErrRejected) {
		return nil, errors.Wrapf(commitErr, "writing %s of %s", key.Key, key.Table)
	}
	stored, err := Get(ctx, rows, key)
	switch {
	case err != nil && !errors.Is(err, ErrAbsent):
	case bytes.Equal(stored.Value, value):
		return value, nil
	case stored.Version != before.Version:
		return nil, errors.Wrapf(ErrConflict, "writing %s of %s", key.Key, key.Table)
	}
	return nil, errors.Wrapf(commitErr, "outcome of writing %s of %s is unknown", key.Key, key.Table)
}
