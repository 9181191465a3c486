package hosted

import (
	"context"
	"sync"
	"time"

	"siskincove/clock"
)

const (
	// redistributeDelay collects the changes that arrive together, as when many instances start.
	redistributeDelay = 20 * time.Millisecond
	// redistributePauseFactor times the duration of a redistribution is the pause after it, within redistributeDelay and
	// maxRedistributePause. Each one ranks the instances for every endpoint, and a start of all instances brings a change for
	// each of them; but the first ones after a start decide whether this instance opens connections of its own.
	redistributePauseFactor = 10
	maxRedistributePause    = 500 * time.Millisecond
)

// redistributor calls a function after changes of the live instances. Changes in quick succession share one call.
type redistributor struct {
	clock clock.Service
	apply func(regions []string)
	done  chan struct{}

	mu sync.Mutex
	// pending are the regions of the changes that no call has covered yet.
	pending map[string]bool
	// requested holds a value while pending is not empty.
	requested chan struct{}
}

// startRedistributor starts a redistributor that runs until ctx ends.
func startRedistributor(ctx context.Context, clk clock.Service, apply func(regions []string)) *redistributor {
	r := &redistributor{
		clock: clk, apply: apply, done: make(chan struct{}), pending: make(map[string]bool), requested: make(chan struct{}, 1),
	}
	go r.run(ctx)
	return r
}

// request asks for a call after a change of the live instances in a region; "" means all regions. It does not wait for the
// call.
func (r *redistributor) request(region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[region] = true
	select {
	case r.requested <- struct{}{}:
	default:
	}
}

func (r *redistributor) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.requested:
		}
		if clock.Wait(ctx, r.clock, redistributeDelay) != nil {
			return
		}
		started := r.clock.Now()
		r.apply(r.take())
		pause := redistributePauseFactor * r.clock.Now().Sub(started)
		if clock.Wait(ctx, r.clock, min(max(pause, redistributeDelay), maxRedistributePause)) != nil {
			return
		}
	}
}

// take returns the pending regions and clears them. If the changes concern all regions, it returns only "".
func (r *redistributor) take() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.requested:
	default:
	}
	all := r.pending[""]
	out := make([]string, 0, len(r.pending))
	for region := range r.pending {
		out = append(out, region)
	}
	clear(r.pending)
	if all {
		return []string{""}
	}
	return out
}
