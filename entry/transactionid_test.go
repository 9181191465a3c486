package entry

import (
	"context"
	"testing"

	"siskincove/peer"
	"siskincove/peer/wire"
)

// TestTransactionIDs guards against two instances that give transactions at one owner the same ID, so that a cancel request for one ends
// the statement of another caller. IDs were made from 12 bits of a checksum of the instance ID, here of the same ID, and a counter.
func TestTransactionIDs(t *testing.T) {
	const statements = 5
	ids := make(chan uint64, 2*statements)
	answer := answerRequests(t)
	owners := &fakeOwners{serve: func(open *wire.Open, stream peer.Stream) {
		ids <- open.GetId()
		answer(open, stream)
	}}
	for range 2 {
		_, address := startServer(t, owners)
		conn := connect(t, address, "certstore")
		for range statements {
			if _, err := conn.Exec(context.Background(), "INSERT INTO t (key, value) VALUES ('k', 'v')"); err != nil {
				t.Fatal(err)
			}
		}
	}
	seen := make(map[uint64]bool)
	for range 2 * statements {
		id := <-ids
		if seen[id] {
			t.Errorf("ID %x was given twice", id)
		}
		seen[id] = true
	}
}
