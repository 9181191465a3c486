package config

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"siskincove/platform"
)

// Head is the row that names the set in force.
type Head struct {
	Revision  uint64 `json:"revision"`
	Hash      string `json:"hash"`
	Publisher string `json:"publisher"`
	Note      string `json:"note,omitempty"`
	// Time is when it was published, in RFC 3339; it is shown to operators and compared with nothing.
	Time string `json:"time"`
}

const headKey = "config/head"

func historyKey(revision uint64) string { return fmt.Sprintf("config/history/%d", revision) }

func objectKey(hash string) string { return "config/" + hash }

// ReadHead returns the head in force; ErrAbsent before the first publication.
func ReadHead(ctx context.Context, table platform.Table) (Head, error) {
	row, err := table.Get(ctx, headKey)
	if err != nil {
		return Head{}, err
	}
	return decodeHead(row)
}

func decodeHead(row platform.Row) (Head, error) {
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return h, errors.Wrap(err, "head row")
	}
	h.Revision = row.Revision
	return h, nil
}

// ReadObjects returns the encoded set that a head names, verified against its hash.
func ReadObjects(ctx context.Context, objects platform.Objects, hash string) ([]byte, error) {
	data, err := objects.Get(ctx, objectKey(hash))
	if err != nil {
		return nil, err
	}
	if Hash(data) != hash {
		return nil, errors.Newf("objects stored under %s have another hash", hash)
	}
	return data, nil
}
