package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"siskincove/config"
	"siskincove/verdict"
)

// Dispatcher runs the statements of all sessions of this instance.
type Dispatcher struct {
	options Options
	ctx     context.Context
	// sessionCount is the number of sessions opened so far; a session's salt is its number.
	sessionCount atomic.Uint64
	// background waits for the work that continues after the answer, such as rollbacks.
	background sync.WaitGroup
	done       chan struct{}
}

// New returns a dispatcher that accepts statements until ctx ends.
func New(ctx context.Context, o Options) *Dispatcher {
	d := &Dispatcher{options: o, ctx: ctx, done: make(chan struct{})}
	go func() {
		defer close(d.done)
		<-ctx.Done()
		d.background.Wait()
	}()
	return d
}

// Done returns a channel that is closed once ctx has ended and all background work is finished.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

func (d *Dispatcher) now() time.Time { return d.options.Clock.Now() }

// route returns the route with the given name and the configuration that contains it.
func (d *Dispatcher) route(name string) (config.Route, *config.Catalog, *verdict.Error) {
	catalog := d.options.Catalogs.Catalog()
	if catalog == nil {
		return config.Route{}, nil, verdict.New(verdict.NotRun, verdict.Unconfigured, "no configuration yet").WithRetryAfter(defaultRetryAfter)
	}
	route, ok := catalog.Route(name)
	if !ok {
		return config.Route{}, nil, verdict.New(verdict.NotRun, verdict.Unrouted, "no route is named %s", name)
	}
	return route, catalog, nil
}
