package succession

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
	"siskincove/platform/rows"
	"siskincove/standin/hosting"
	"siskincove/store"
)

// TestReserveFence checks that concurrent coordinators never reserve the same token, also when the store's answers are
// lost, and that a coordinator that tries again after a conflict gets a token.
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
	lost := 0
	var wait sync.WaitGroup
	for range coordinators {
		client := rows.New(s.Address())
		wait.Go(func() {
			for r := range rounds {
				if r%5 == 0 {
					s.SetFaults(hosting.StoreFaults{LoseCommits: 1})
				}
				fence, err := ReserveFence(ctx, client, "db")
				for errors.Is(err, store.ErrConflict) {
					fence, err = ReserveFence(ctx, client, "db")
				}
				mu.Lock()
				if err == nil {
					reserved[fence]++
				} else {
					lost++
				}
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
	if len(reserved)+lost != coordinators*rounds {
		t.Errorf("%d tokens were reserved and %d answers lost in %d rounds", len(reserved), lost, coordinators*rounds)
	}
	if limit := coordinators * rounds / 5; lost > limit {
		t.Errorf("%d rounds failed, more than the %d answers lost", lost, limit)
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

// TestReserveFenceUnreadable guards against a database that can't be given a primary any more, or a token below an older one, since
// another writer has replaced the row that counts the tokens.
func TestReserveFenceUnreadable(t *testing.T) {
	for name, value := range map[string]string{
		"text": "none", "empty": "", "bytes": "\xff\x00", "JSON": `{"next":7}`, "negative": "-1", "fraction": "1.5", "zero": "0", "largest of the number": "4294967295",
		"above the number": "4294967296", "largest": "18446744073709551615", "too large": "99999999999999999999", "long": strings.Repeat("9", 60_000),
	} {
		t.Run(name, func(t *testing.T) {
			s, err := hosting.NewStore()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			client := rows.New(s.Address())
			var tokens []uint64
			for n := range 9 {
				if n%3 == 2 {
					s.WriteRaw("fences", "db", []byte(value))
				}
				token, err := ReserveFence(ctx, client, "db")
				if err != nil {
					t.Fatal(err)
				}
				if len(tokens) > 0 && token <= tokens[len(tokens)-1] {
					t.Errorf("token %d was reserved after %d", token, tokens)
				}
				tokens = append(tokens, token)
				if tokenEra(token) != tokenEra(tokens[0]) {
					t.Errorf("token %d is of era %d", token, tokenEra(token))
				}
			}
		})
	}
}
