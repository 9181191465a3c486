package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/platform"
	standin "siskincove/standin/platform"
)

// losing is a table that loses the answers to the puts that it is told to, after or before their effect.
type losing struct {
	platform.Table
	lose   int
	before bool
	puts   int
}

var errLost = errors.New("answer lost")

func (l *losing) Put(ctx context.Context, row platform.Row, expected uint64) error {
	l.puts++
	if l.puts != l.lose {
		return l.Table.Put(ctx, row, expected)
	}
	if !l.before {
		_ = l.Table.Put(ctx, row, expected)
	}
	return errLost
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
			memory := standin.NewMemory()
			if test.other {
				if _, err := config.Publish(ctx, memory, memory.Objects(), publication("other", "op-other", 0)); err != nil {
					t.Fatal(err)
				}
			}
			table := &losing{Table: memory, lose: test.lose, before: test.before}
			_, err := config.Publish(ctx, table, memory.Objects(), publication("mine", "op-mine", 0))
			if errors.Is(err, platform.ErrConflict) != test.conflict || (err != nil) != (test.conflict || test.unknown) {
				t.Errorf("error %v", err)
			}
			head, err := config.ReadHead(ctx, memory)
			if err != nil && !errors.Is(err, platform.ErrAbsent) {
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
	memory := standin.NewMemory()
	const operators, rounds = 8, 20
	accepted := make(chan uint64, operators*rounds)
	var wait sync.WaitGroup
	for n := range operators {
		wait.Go(func() {
			for r := range rounds {
				head, err := config.ReadHead(ctx, memory)
				if err != nil && !errors.Is(err, platform.ErrAbsent) {
					t.Error(err)
					return
				}
				operation := fmt.Sprintf("op-%d-%d", n, r)
				got, err := config.Publish(ctx, memory, memory.Objects(), publication(operation, operation, head.Revision))
				if err == nil {
					accepted <- got.Revision
				} else if !errors.Is(err, platform.ErrConflict) {
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
	heads, err := config.History(ctx, memory, operators*rounds+1)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(len(seen), len(heads)); diff != "" {
		t.Error(diff)
	}
}
