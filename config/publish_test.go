package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/platform/rows"
	"siskincove/standin/hosting"
	"siskincove/store"
)

// lossyRows fails the commit with number loseAt. The commit takes effect unless discard is set.
type lossyRows struct {
	store.Rows
	loseAt  int
	discard bool
	commits int
	// beforeReply, if set, is called before the failed commit returns.
	beforeReply func()
}

var errLost = errors.New("answer lost")

func (r *lossyRows) Commit(ctx context.Context, t store.Transaction) (store.Version, error) {
	r.commits++
	if r.commits != r.loseAt {
		return r.Rows.Commit(ctx, t)
	}
	if !r.discard {
		_, _ = r.Rows.Commit(ctx, t)
	}
	if r.beforeReply != nil {
		r.beforeReply()
	}
	return 0, errLost
}

// startStore starts a store and returns a client for it.
func startStore(t *testing.T) *rows.Client {
	t.Helper()
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return rows.New(s.Address())
}

func set(name string) config.Set {
	return config.Set{Services: []config.Service{{Name: name, Route: "main"}}}
}

func publication(name, operation string, base uint64) config.Publication {
	return config.Publication{Set: set(name), Publisher: name, Operation: operation, Base: base}
}

func TestPublish(t *testing.T) {
	tests := map[string]struct {
		loseAt    int
		discard   bool
		published bool
		conflict  bool
		unknown   bool
		want      uint64
	}{
		"first publication":            {want: 1},
		"another published first":      {published: true, conflict: true, want: 1},
		"answer lost after the commit": {loseAt: 1, want: 1},
		"commit lost":                  {loseAt: 1, discard: true, unknown: true, want: 0},
		"commit is sent only once":     {loseAt: 2, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			client := startStore(t)
			if test.published {
				if _, err := config.Publish(ctx, client, client, publication("other", "op-other", 0)); err != nil {
					t.Fatal(err)
				}
			}
			lossy := &lossyRows{Rows: client, loseAt: test.loseAt, discard: test.discard}
			_, err := config.Publish(ctx, lossy, client, publication("mine", "op-mine", 0))
			if errors.Is(err, store.ErrConflict) != test.conflict || (err != nil) != (test.conflict || test.unknown) {
				t.Errorf("error %v", err)
			}
			head, err := config.ReadHead(ctx, client)
			if err != nil && !errors.Is(err, store.ErrAbsent) {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, head.Revision); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPublishRace guards against lost updates when operators publish concurrently: one publication succeeds per base, and
// every accepted one is in the history.
func TestPublishRace(t *testing.T) {
	ctx := context.Background()
	client := startStore(t)
	const operators, rounds = 8, 20
	accepted := make(chan uint64, operators*rounds)
	var wait sync.WaitGroup
	for n := range operators {
		wait.Go(func() {
			for r := range rounds {
				head, err := config.ReadHead(ctx, client)
				if err != nil && !errors.Is(err, store.ErrAbsent) {
					t.Error(err)
					return
				}
				operation := fmt.Sprintf("op-%d-%d", n, r)
				got, err := config.Publish(ctx, client, client, publication(operation, operation, head.Revision))
				if err == nil {
					accepted <- got.Revision
				} else if !errors.Is(err, store.ErrConflict) {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	close(accepted)
	seen := map[uint64]bool{}
	for revision := range accepted {
		if seen[revision] {
			t.Errorf("revision %d was given to two operators", revision)
		}
		seen[revision] = true
	}
	heads, err := config.History(ctx, client, operators*rounds+1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(seen), len(heads)); diff != "" {
		t.Error(diff)
	}
}

// TestPublishOvertaken guards against deriving the outcome of a publication from a later head. The answer to its commit is
// lost while others publish.
func TestPublishOvertaken(t *testing.T) {
	tests := map[string]struct {
		discard bool
		want    error
	}{
		"answer lost after the commit":        {},
		"commit lost, others published first": {discard: true, want: store.ErrConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, ctx := startStore(t), context.Background()
			lossy := &lossyRows{Rows: client, loseAt: 1, discard: test.discard}
			lossy.beforeReply = func() {
				base := uint64(1)
				if test.discard {
					base = 0
				}
				for n := range 2 {
					if _, err := config.Publish(ctx, client, client, publication("other", fmt.Sprintf("other%d", n), base+uint64(n))); err != nil {
						t.Error(err)
					}
				}
			}
			head, err := config.Publish(ctx, lossy, client, publication("own", "own", 0))
			if !errors.Is(err, test.want) {
				t.Errorf("%v, want %v", err, test.want)
			}
			if test.want == nil && head.Revision != 1 {
				t.Errorf("revision %d", head.Revision)
			}
		})
	}
}
