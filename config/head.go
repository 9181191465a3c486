package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// Head describes a published revision. The head row of the store holds the one in force.
type Head struct {
	Revision  uint64 `json:"revision"`
	Hash      string `json:"hash"`
	Publisher string `json:"publisher"`
	Note      string `json:"note,omitempty"`
	// Time is the time of publication in RFC 3339. It is only displayed, never compared.
	Time string `json:"time"`
	// Operation is unique to the publication.
	Operation string `json:"operation"`
}

const (
	// headTable holds the head row; historyTable holds one row per revision.
	headTable    = "revisions"
	historyTable = "history"
	headKey      = "head"
)

var headRow = store.Key{Table: headTable, Key: headKey}

// historyKey returns the key of a revision's history row. It is zero-padded so that keys sort by revision.
func historyKey(revision uint64) string { return fmt.Sprintf("%020d", revision) }

func objectKey(hash string) string { return "revision-" + hash }

// ReadHead returns the head in force, or store.ErrAbsent before the first publication.
func ReadHead(ctx context.Context, rows store.Rows) (Head, error) {
	row, err := store.Get(ctx, rows, headRow)
	if err != nil {
		return Head{}, err
	}
	return decodeHead(row)
}

func decodeHead(row store.Row) (Head, error) {
	var h Head
	err := json.Unmarshal(row.Value, &h)
	return h, errors.Wrapf(err, "row %s of %s", row.Key.Key, row.Key.Table)
}

// ReadObjects returns the encoded set that is stored under a hash, and verifies that it has this hash.
func ReadObjects(ctx context.Context, objects store.Objects, hash string) ([]byte, error) {
	data, err := objects.Get(ctx, objectKey(hash))
	if err != nil {
		return nil, err
	}
	if Hash(data) != hash {
		return nil, errors.Newf("objects stored under hash %s have a different hash", hash)
	}
	return data, nil
}
