package config

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// Publication is a request to publish a set as the next revision.
type Publication struct {
	Set       Set
	Publisher string
	Note      string
	Time      string
	// Operation is unique to this publication, so that its outcome can be determined if the answer of the store is lost.
	Operation string
	// Base is the revision against which the publisher made the plan; 0 if there was none.
	Base uint64
}

// Publish stores the set and moves the head to it in a conditional transaction. store.ErrConflict means that another
// revision was published first and that this one did not take effect.
func Publish(ctx context.Context, rows store.Rows, objects store.Objects, p Publication) (Head, error) {
	data, err := p.Set.Encode()
	if err != nil {
		return Head{}, err
	}
	hash := Hash(data)
	if err := storeObjects(ctx, objects, hash, data); err != nil {
		return Head{}, err
	}
	head := Head{Revision: p.Base + 1, Hash: hash, Publisher: p.Publisher, Note: p.Note, Time: p.Time, Operation: p.Operation}
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, errors.Wrap(err, "encoding head")
	}
	previous, err := store.Get(ctx, rows, headRow)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return Head{}, errors.Wrap(err, "reading the head")
	}
	if err := checkBase(previous, p.Base); err != nil {
		return Head{}, err
	}
	historyRow := store.Row{Key: store.Key{Table: historyTable, Key: historyKey(head.Revision)}, Value: value}
	_, err = rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: headRow, Version: previous.Version}},
		Puts:   []store.Row{{Key: headRow, Value: value}, historyRow},
	})
	if err == nil {
		return head, nil
	}
	return head, resolveOutcome(ctx, rows, historyRow, previous, err)
}

// resolveOutcome determines whether a publication whose commit failed took effect: nil if it did, store.ErrConflict if it
// certainly did not. The head may have moved on since, but the history row of a revision is written in the same transaction
// as the head and never changes.
func resolveOutcome(ctx context.Context, rows store.Rows, historyRow, previous store.Row, commitErr error) error {
	if errors.Is(commitErr, store.ErrRejected) {
		return errors.Wrap(commitErr, "publishing")
	}
	// Read the head first: if it has moved, the history row of its revision exists.
	head, headErr := store.Get(ctx, rows, headRow)
	stored, err := store.Get(ctx, rows, historyRow.Key)
	switch {
	case err == nil && bytes.Equal(stored.Value, historyRow.Value):
		return nil
	case err == nil || headErr == nil && errors.Is(err, store.ErrAbsent) && head.Version != previous.Version:
		return errors.Wrap(store.ErrConflict, "another revision was published first")
	}
	return errors.Wrap(commitErr, "outcome of the publication is unknown")
}

// checkBase returns store.ErrConflict unless the head row still holds the revision against which the plan was made.
func checkBase(previous store.Row, base uint64) error {
	current := Head{}
	if previous.Version > 0 {
		var err error
		if current, err = decodeHead(previous); err != nil {
			return err
		}
	}
	if current.Revision != base {
		return errors.Wrapf(store.ErrConflict, "revision %d is in force, but the plan was made against revision %d", current.Revision, base)
	}
	return nil
}

// storeObjects stores the encoded set. If the store fails to confirm it, the objects are read back to see whether they were
// stored.
func storeObjects(ctx context.Context, objects store.Objects, hash string, data []byte) error {
	err := objects.Put(ctx, objectKey(hash), data)
	if err == nil {
		return nil
	}
	if _, readErr := ReadObjects(ctx, objects, hash); readErr == nil {
		return nil
	}
	return errors.Wrap(err, "storing objects")
}

// History returns at most limit heads, newest first.
func History(ctx context.Context, rows store.Rows, limit int) ([]Head, error) {
	head, err := ReadHead(ctx, rows)
	if err != nil {
		return nil, err
	}
	first := uint64(1)
	if head.Revision > uint64(limit) {
		first = head.Revision - uint64(limit) + 1
	}
	page, err := store.Scan(ctx, rows, historyTable, "", historyKey(first))
	if err != nil {
		return []Head{head}, errors.Wrap(err, "reading history")
	}
	out := []Head{head}
	for _, row := range slices.Backward(page.Rows) {
		entry, err := decodeHead(row)
		if err != nil {
			return out, err
		}
		if entry.Revision < head.Revision && len(out) < limit {
			out = append(out, entry)
		}
	}
	return out, nil
}
