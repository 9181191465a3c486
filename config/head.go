package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// Head is the row that names the set in force.
type Head struct {
	Revision  uint64 `json:"revision"`
	Hash      string `json:"hash"`
	Publisher string `json:"publisher"`
	Note      string `json:"note,omitempty"`
	// Time is when it was published, in RFC 3339; it is shown to operators and compared with nothing.
	Time string `json:"time"`
	// Operation is unique to the publication.
	Operation string `json:"operation"`
}

const (
	// headTable holds the head, and historyTable a row for each revision.
	headTable    = "revisions"
	historyTable = "history"
	headKey      = "head"
)

// headRow is where the head lies.
var headRow = store.Key{Table: headTable, Key: headKey}

// historyKey orders revisions by number.
func historyKey(revision uint64) string { return fmt.Sprintf("%020d", revision) }

func objectKey(hash string) string { return "revision-" + hash }

// ReadHead returns the head in force; store.ErrAbsent before the first publication.
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

// ReadObjects returns the encoded set that a head names, verified against its hash.
func ReadObjects(ctx context.Context, objects store.Objects, hash string) ([]byte, error) {
	data, err := objects.Get(ctx, objectKey(hash))
	if err != nil {
		return nil, err
	}
	if Hash(data) != hash {
		return nil, errors.Newf("objects stored under %s have another hash", hash)
	}
	return data, nil
}
