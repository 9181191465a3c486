package succession

import (
	"context"
	"sync"
	"testing"
	"time"

	"siskincove/endpoint"
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

// TestReserveFenceRestored guards against a fencing token that two coordinators hold, or one below an older token, after the
// store was restored from a copy in which the first reservation is missing.
func TestReserveFenceRestored(t *testing.T) {
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	first, second := rows.New(s.Address()), rows.New(s.Address())
	var tokens []uint64
	terms := make(map[endpoint.FencedTerm]bool)
	reserve := func(c *rows.Client) {
		token, err := ReserveFence(ctx, c, "db")
		if err != nil {
			t.Fatal(err)
		}
		tokens = append(tokens, token)
		terms[holdTerm(1, token)] = true
	}
	reserve(first)
	old := s.Copy()
	for range 3 {
		reserve(first)
		s.Restore(old)
		reserve(second)
	}
	for n := 1; n < len(tokens); n++ {
		if tokens[n] <= tokens[n-1] {
			t.Errorf("token %d was reserved after %d", tokens[n], tokens[n-1])
		}
	}
	if len(terms) != len(tokens) {
		t.Errorf("%d successions hold replicas under %d terms", len(tokens), len(terms))
	}
}
