package succession

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskincove/platform/rows"
	"siskincove/standin/hosting"
)

// TestReserveFence checks that concurrent coordinators never reserve the same token, also when the store's answers are
// lost.
func TestReserveFence(t *testing.T) {
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const coordinators, rounds = 6, 20
	var mu sync.Mutex
	reserved := make(map[uint64]int)
	var wait sync.WaitGroup
	for range coordinators {
		client := rows.New(s.Address())
		wait.Go(func() {
			for r := range rounds {
				if r%5 == 0 {
					s.SetFaults(hosting.StoreFaults{LoseCommits: 1})
				}
				fence, err := ReserveFence(ctx, client, "db")
				if err != nil {
					continue
				}
				mu.Lock()
				reserved[fence]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	for fence, n := range reserved {
		if n > 1 {
			t.Errorf("token %d was reserved %d times", fence, n)
		}
	}
	if len(reserved) < rounds {
		t.Errorf("only %d tokens were reserved", len(reserved))
	}
}
