package clock

import (
	"context"
	"time"
)

// System is the service backed by the machine's monotonic clock.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives one time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Every returns a channel that receives a time each interval until ctx ends; a slow reader misses ticks.
func (System) Every(ctx context.Context, interval time.Duration) <-chan time.Time {
	ticks := make(chan time.Time, 1)
	ticker := time.NewTicker(interval)
	go func() {
		defer ticker.Stop()
		relay(ctx, ticker.C, ticks)
	}()
	return ticks
}

func relay(ctx context.Context, from <-chan time.Time, to chan<- time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-from:
			offer(to, at)
		}
	}
}

func offer(to chan<- time.Time, at time.Time) {
	select {
	case to <- at:
	default:
	}
}
