package commands

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/store"
)

// publishedSet is the latest published head and its set of objects. Both are empty before the first publication.
type publishedSet struct {
	head config.Head
	set  config.Set
}

func readPublished(ctx context.Context, f *StoreFlags) (publishedSet, error) {
	head, err := config.ReadHead(ctx, f.client())
	if errors.Is(err, store.ErrAbsent) {
		return publishedSet{}, nil
	}
	if err != nil {
		return publishedSet{}, errors.Wrap(err, "reading the head")
	}
	data, err := config.ReadObjects(ctx, f.client(), head.Hash)
	if err != nil {
		return publishedSet{}, errors.Wrap(err, "reading the objects")
	}
	set, err := config.Decode(data)
	return publishedSet{head: head, set: set}, err
}
