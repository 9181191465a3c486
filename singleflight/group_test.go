package singleflight

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestGroupIsFresh checks that no caller receives the result of a run that had started before its call.
func TestGroupIsFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Group[int64]
		var runs, callers atomic.Int64
		fetch := func(context.Context) (int64, error) { return runs.Add(1), nil }
		var wg sync.WaitGroup
		var stale atomic.Int64
		for range rapid.IntRange(1, 30).Draw(t, "callers") {
			wg.Go(func() {
				before := runs.Load()
				callers.Add(1)
				got, err := g.Do(context.Background(), context.Background(), fetch)
				if err != nil || got <= before {
					stale.Add(1)
				}
			})
		}
		wg.Wait()
		if stale.Load() > 0 || runs.Load() > callers.Load() {
			t.Fatalf("%d stale results, %d runs for %d callers", stale.Load(), runs.Load(), callers.Load())
		}
	})
}

func TestGroupCallerGivesUp(t *testing.T) {
	var g Group[int]
	ctx, cancel := context.WithCancel(context.Background())
	release := make(chan struct{})
	done := make(chan error)
	go func() {
		_, err := g.Do(ctx, context.Background(), func(context.Context) (int, error) {
			<-release
			return 1, nil
		})
		done <- err
	}()
	cancel()
	if err := <-done; err == nil {
		t.Error("a caller whose context was canceled got a result")
	}
	close(release)
}
