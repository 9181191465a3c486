package config

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// Publication is a request to put a set in force.
type Publication struct {
	Set       Set
	Publisher string
	Note      string
	Time      string
	// Operation is unique to this publication, so that a lost answer can be settled.
	Operation string
	// Base is the revision that the publisher's plan was made against.
	Base uint64
}

// Publish stores the set and moves the head by a conditional transaction; store.ErrConflict means that another operator
// came first and nothing changed.
func Publish(ctx context.Context, rows store.Rows, objects store.Objects, p Publication) (Head, error) {
	data, err := p.Set.Encode()
	if err != nil {
		return Head{}, err
	}
	hash := Hash(data)
	if err := keep(ctx, objects, hash, data); err != nil {
		return Head{}, err
	}
	head := Head{Revision: p.Base + 1, Hash: hash, Publisher: p.Publisher, Note: p.Note, Time: p.Time, Operation: p.Operation}
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, errors.Wrap(err, "encoding head")
	}
	before, err := store.Get(ctx, rows, headRow)
	if err != nil && !errors.Is(err, store.ErrAbsent) {
		return Head{}, errors.Wrap(err, "reading the head")
	}
	if err := unchanged(before, p.Base); err != nil {
		return Head{}, err
	}
	line := store.Row{Key: store.Key{Table: historyTable, Key: historyKey(head.Revision)}, Value: value}
	_, err = rows.Commit(ctx, store.Transaction{
		Expect: []store.Expectation{{Key: headRow, Version: before.Version}},
		Puts:   []store.Row{{Key: headRow, Value: value}, line},
	})
	if err == nil {
		return head, nil
	}
	return head, settle(ctx, rows, line, before, err)
}

// settle finds out whether a publication took effect: nil if it did, store.ErrConflict if it certainly did not. The head may
// have moved on since, but each revision's line in the history is written with the head and stays.
func settle(ctx context.Context, rows store.Rows, line, before store.Row, failed error) error {
	if errors.Is(failed, store.ErrRejected) {
		return errors.Wrap(failed, "publishing")
	}
	// The head is read first: if it has moved, the line of its revision is there.
	head, headErr := store.Get(ctx, rows, headRow)
	stored, err := store.Get(ctx, rows, line.Key)
	switch {
	case err == nil && bytes.Equal(stored.Value, line.Value):
		return nil
	case err == nil || headErr == nil && errors.Is(err, store.ErrAbsent) && head.Version != before.Version:
		return errors.Wrap(store.ErrConflict, "another revision came first")
	}
	return errors.Wrap(failed, "outcome of the publication is unknown")
}

// unchanged reports store.ErrConflict unless the head's row still holds the revision that the plan was made against.
func unchanged(before store.Row, base uint64) error {
	current := Head{}
	if before.Version > 0 {
		var err error
		if current, err = decodeHead(before); err != nil {
			return err
		}
	}
	if current.Revision != base {
		return errors.Wrapf(store.ErrConflict, "revision %d is in force, the plan was made against %d", current.Revision, base)
	}
	return nil
}

// keep stores the bytes and, when the answer is lost, reads them back.
func keep(ctx context.Context, objects store.Objects, hash string, data []byte) error {
	err := objects.Put(ctx, objectKey(hash), data)
	if err == nil {
		return nil
	}
	if _, readErr := ReadObjects(ctx, objects, hash); readErr == nil {
		return nil
	}
	return errors.Wrap(err, "storing objects")
}

// History returns up to most heads, newest first.
func History(ctx context.Context, rows store.Rows, most int) ([]Head, error) {
	head, err := ReadHead(ctx, rows)
	if err != nil {
		return nil, err
	}
	first := uint64(1)
	if head.Revision > uint64(most) {
		first = head.Revision - uint64(most) + 1
	}
	page, err := store.Scan(ctx, rows, historyTable, "", historyKey(first))
	if err != nil {
		return []Head{head}, errors.Wrap(err, "reading history")
	}
	out := []Head{head}
	for _, row := range slices.Backward(page.Rows) {
		old, err := decodeHead(row)
		if err != nil {
			return out, err
		}
		if old.Revision < head.Revision && len(out) < most {
			out = append(out, old)
		}
	}
	return out, nil
}
