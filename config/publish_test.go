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

// losing is a store that loses the answer to the commit that it is told to, after or before its effect.
type losing struct {
	store.Rows
	lose    int
	before  bool
	commits int
	// meanwhile, if set, happens between the effect and the loss of its answer.
	meanwhile func()
}

var errLost = errors.New("answer lost")

func (l *losing) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	l.commits++
	if l.commits != l.lose {
		return l.Rows.Commit(ctx, t)
	}
	if !l.before {
		_, _ = l.Rows.Commit(ctx, t)
	}
	if l.meanwhile != nil {
		l.meanwhile()
	}
	return 0, errLost
}

// begin starts a store and returns its client.
func begin(t *testing.T) *rows.Client {
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
		lose     int
		before   bool
		other    bool
		conflict bool
		unknown  bool
		want     uint64
	}{
		"first":                              {want: 1},
		"another came first":                 {other: true, conflict: true, want: 1},
		"answer of the head lost, effective": {lose: 1, want: 1},
		"head lost before its effect":        {lose: 1, before: true, unknown: true, want: 0},
		"answer of the history lost":         {lose: 2, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			kept := begin(t)
			if test.other {
				if _, err := config.Publish(ctx, kept, kept, publication("other", "op-other", 0)); err != nil {
					t.Fatal(err)
				}
			}
			losingRows := &losing{Rows: kept, lose: test.lose, before: test.before}
			_, err := config.Publish(ctx, losingRows, kept, publication("mine", "op-mine", 0))
			if errors.Is(err, store.ErrConflict) != test.conflict || (err != nil) != (test.conflict || test.unknown) {
				t.Errorf("error %v", err)
			}
			head, err := config.ReadHead(ctx, kept)
			if err != nil && !errors.Is(err, store.ErrAbsent) {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.want, head.Revision); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPublishRace lets operators race from the same base: one wins each time, and nothing that was accepted is lost.
func TestPublishRace(t *testing.T) {
	ctx := context.Background()
	kept := begin(t)
	const operators, rounds = 8, 20
	accepted := make(chan uint64, operators*rounds)
	var wait sync.WaitGroup
	for n := range operators {
		wait.Go(func() {
			for r := range rounds {
				head, err := config.ReadHead(ctx, kept)
				if err != nil && !errors.Is(err, store.ErrAbsent) {
					t.Error(err)
					return
				}
				operation := fmt.Sprintf("op-%d-%d", n, r)
				got, err := config.Publish(ctx, kept, kept, publication(operation, operation, head.Revision))
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
	heads, err := config.History(ctx, kept, operators*rounds+1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(seen), len(heads)); diff != "" {
		t.Error(diff)
	}
}

// TestPublishOvertaken loses the answer to a publication while others publish on: it is told what happened to its own
// revision, not that of the newest.
func TestPublishOvertaken(t *testing.T) {
	tests := map[string]struct {
		before bool
		want   error
	}{
		"after its effect":              {},
		"before, and others came first": {before: true, want: store.ErrConflict},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client, ctx := begin(t), context.Background()
			lossy := &losing{Rows: client, lose: 1, before: test.before}
			lossy.meanwhile = func() {
				base := uint64(1)
				if test.before {
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
