package succession

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskincove/platform/rows"
	"siskincove/standin/hosting"
)

// TestReserve lets coordinators reserve at once, some answers being lost: no token is given to two.
func TestReserve(t *testing.T) {
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const coordinators, rounds = 6, 20
	var mu sync.Mutex
	taken := make(map[uint64]int)
	var wait sync.WaitGroup
	for range coordinators {
		client := rows.New(s.Address())
		wait.Go(func() {
			for r := range rounds {
				if r%5 == 0 {
					s.Fail(hosting.StoreFaults{LoseCommits: 1})
				}
				fence, err := ReserveFence(ctx, client, "db")
				if err != nil {
					continue
				}
				mu.Lock()
				taken[fence]++
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	for fence, n := range taken {
		if n > 1 {
			t.Errorf("token %d was given %d times", fence, n)
		}
	}
	if len(taken) < rounds {
		t.Errorf("only %d tokens were given", len(taken))
	}
}
