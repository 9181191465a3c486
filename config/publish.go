package config

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"siskincove/platform"
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

// Publish stores the set and moves the head by a conditional write; platform.ErrConflict means that another operator
// came first and nothing changed.
func Publish(ctx context.Context, table platform.Table, objects platform.Objects, p Publication) (Head, error) {
	data, err := p.Set.Encode()
	if err != nil {
		return Head{}, err
	}
	hash := Hash(data)
	if err := store(ctx, objects, hash, data); err != nil {
		return Head{}, err
	}
	head := Head{Revision: p.Base + 1, Hash: hash, Publisher: p.Publisher, Note: p.Note, Time: p.Time}
	value, err := json.Marshal(head)
	if err != nil {
		return Head{}, errors.Wrap(err, "encoding head")
	}
	row, err := platform.Update(ctx, table, headKey, p.Operation, func(before platform.Row) ([]byte, error) {
		if before.Revision != p.Base {
			return nil, errors.Wrapf(platform.ErrConflict, "revision %d is in force, the plan was made against %d", before.Revision, p.Base)
		}
		return value, nil
	})
	if err != nil {
		return Head{}, err
	}
	head.Revision = row.Revision
	return head, record(ctx, table, head, value)
}

// store puts the bytes and, when the answer is lost, reads them back.
func store(ctx context.Context, objects platform.Objects, hash string, data []byte) error {
	err := objects.Put(ctx, objectKey(hash), data)
	if err == nil {
		return nil
	}
	if _, readErr := ReadObjects(ctx, objects, hash); readErr == nil {
		return nil
	}
	return errors.Wrap(err, "storing objects")
}

// record keeps the head in the history; a publisher that dies before this leaves a gap, which history shows.
func record(ctx context.Context, table platform.Table, head Head, value []byte) error {
	row := platform.Row{Key: historyKey(head.Revision), Revision: 1, Value: value, Operation: head.Hash}
	err := table.Put(ctx, row, 0)
	if err == nil || errors.Is(err, platform.ErrConflict) {
		return nil
	}
	if _, readErr := table.Get(ctx, row.Key); readErr == nil {
		return nil
	}
	return errors.Wrapf(ErrUnrecorded, "revision %d is in force: %v", head.Revision, err)
}

// ErrUnrecorded means that a revision is in force but its line in the history could not be written.
var ErrUnrecorded = errors.New("history was not written")

// History returns up to most heads, newest first; revisions whose line was not written are left out.
func History(ctx context.Context, table platform.Table, most int) ([]Head, error) {
	head, err := ReadHead(ctx, table)
	if err != nil {
		return nil, err
	}
	out := []Head{head}
	for revision := head.Revision - 1; revision > 0 && len(out) < most; revision-- {
		row, err := table.Get(ctx, historyKey(revision))
		if errors.Is(err, platform.ErrAbsent) {
			continue
		}
		if err != nil {
			return out, errors.Wrap(err, "reading history")
		}
		old, err := decodeHead(row)
		if err != nil {
			return out, err
		}
		old.Revision = revision
		out = append(out, old)
	}
	return out, nil
}
