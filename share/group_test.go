package share

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// TestGroupIsFresh shows that no caller receives the result of a run that had started before it asked.
func TestGroupIsFresh(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Group[int64]
		var started, asked atomic.Int64
		inquire := func(context.Context) (int64, error) { return started.Add(1), nil }
		var wait sync.WaitGroup
		var stale atomic.Int64
		for range rapid.IntRange(1, 30).Draw(t, "callers") {
			wait.Go(func() {
				before := started.Load()
				asked.Add(1)
				got, err := g.Do(context.Background(), context.Background(), inquire)
				if err != nil || got <= before {
					stale.Add(1)
				}
			})
		}
		wait.Wait()
		if stale.Load() > 0 || started.Load() > asked.Load() {
			t.Fatalf("%d stale results, %d runs for %d callers", stale.Load(), started.Load(), asked.Load())
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
		t.Error("a caller that gave up got an answer")
	}
	close(release)
}
