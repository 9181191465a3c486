package hosted

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskincove/directory"
	"siskincove/event"
	"siskincove/peer/wire"
	"siskincove/store"
	"siskincove/transfer"
)

// tables keeps the pieces of all endpoints for the peers that pull them.
type tables struct {
	logger *event.Logger

	mu  sync.Mutex
	sum transfer.Sum
	of  transfer.Document
}

// document returns the pieces of the endpoints in an offer of all of them.
func (t *tables) document(offer directory.Offer) transfer.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sum != offer.Sum || t.of.Empty() {
		t.sum, t.of = offer.Sum, transfer.NewDocument(t.encode(offer.Endpoints))
	}
	return t.of
}

// latest returns the document that was last asked for.
func (t *tables) latest() transfer.Document {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of
}

// encode returns rows in an order in which two tables with few differences share most pieces.
func (t *tables) encode(rows []store.Row) []byte {
	slices.SortFunc(rows, func(a, b store.Row) int { return cmp.Compare(a.Key.Key, b.Key.Key) })
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Offer{Endpoints: toRows(rows)})
	if err != nil {
		t.logger.Log(event.DirectoryFailed, map[string]any{"error": err.Error()})
	}
	return value
}

// decodeTable returns the rows of a value that a peer has encoded.
func decodeTable(value []byte) ([]store.Row, error) {
	var decoded wire.Offer
	if err := proto.Unmarshal(value, &decoded); err != nil {
		return nil, errors.Wrap(err, "table of endpoints")
	}
	return fromRows(decoded.GetEndpoints()), nil
}
