package commands

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/store"
)

// inForce is the head and the set that are in force, empty before the first publication.
type inForce struct {
	head config.Head
	set  config.Set
}

func readInForce(ctx context.Context, f *StoreFlags) (inForce, error) {
	head, err := config.ReadHead(ctx, f.client())
	if errors.Is(err, store.ErrAbsent) {
		return inForce{}, nil
	}
	if err != nil {
		return inForce{}, errors.Wrap(err, "reading the head")
	}
	data, err := config.ReadObjects(ctx, f.client(), head.Hash)
	if err != nil {
		return inForce{}, errors.Wrap(err, "reading the objects")
	}
	set, err := config.Decode(data)
	return inForce{head: head, set: set}, err
}
