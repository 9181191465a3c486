package share

import (
	"context"
	"sync"
)

// Group runs an inquiry once for all callers that were waiting when it started. A caller never receives the result of
// a run that had started before the caller asked.
type Group[T any] struct {
	mu      sync.Mutex
	running bool
	next    *call[T]
}

type call[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// Do joins the next run of inquire and returns its result, or ctx's error when that ends first.
// The run itself is bounded by runCtx, not by any one caller's.
func (g *Group[T]) Do(ctx, runCtx context.Context, inquire func(context.Context) (T, error)) (T, error) {
	c := g.join(runCtx, inquire)
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (g *Group[T]) join(runCtx context.Context, inquire func(context.Context) (T, error)) *call[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &call[T]{done: make(chan struct{})}
	}
	c := g.next
	if !g.running {
		g.running = true
		go g.run(runCtx, inquire)
	}
	return c
}

// run repeats the inquiry until nobody waits.
func (g *Group[T]) run(ctx context.Context, inquire func(context.Context) (T, error)) {
	for {
		c := g.take()
		if c == nil {
			return
		}
		c.value, c.err = inquire(ctx)
		close(c.done)
	}
}

func (g *Group[T]) take() *call[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.next
	g.next = nil
	g.running = c != nil
	return c
}
