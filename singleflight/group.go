package singleflight

import (
	"context"
	"sync"
)

// Group runs a fetch once for all callers that were waiting when it started. A caller never receives the result of a
// run that had started before its call, so the result is at least as recent as the call.
type Group[T any] struct {
	mu      sync.Mutex
	running bool
	// next is the run that has not started yet, nil if no caller waits for one.
	next *call[T]
}

// call is one run of the fetch, joined by all callers that wait for it. Its result is set before done is closed.
type call[T any] struct {
	done  chan struct{}
	value T
	err   error
}

// Do joins the next run of fetch and returns its result, or ctx's error if ctx ends first. The run itself is bounded by
// runCtx, not by the context of any one caller.
func (g *Group[T]) Do(ctx, runCtx context.Context, fetch func(context.Context) (T, error)) (T, error) {
	c := g.join(runCtx, fetch)
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// join returns the next run and starts it if none is in progress.
func (g *Group[T]) join(runCtx context.Context, fetch func(context.Context) (T, error)) *call[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.next == nil {
		g.next = &call[T]{done: make(chan struct{})}
	}
	c := g.next
	if !g.running {
		g.running = true
		go g.run(runCtx, fetch)
	}
	return c
}

// run repeats the fetch until no caller waits.
func (g *Group[T]) run(ctx context.Context, fetch func(context.Context) (T, error)) {
	for {
		c := g.takeNext()
		if c == nil {
			return
		}
		c.value, c.err = fetch(ctx)
		close(c.done)
	}
}

func (g *Group[T]) takeNext() *call[T] {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.next
	g.next = nil
	g.running = c != nil
	return c
}
