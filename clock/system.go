package clock

import (
	"context"
	"time"
)

// System is a clock backed by package time.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives one time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Every returns a channel that receives a time each interval until ctx ends; ticks are dropped if the receiver is slow.
func (System) Every(ctx context.Context, interval time.Duration) <-chan time.Time {
	ticks := make(chan time.Time, 1)
	ticker := time.NewTicker(interval)
	go func() {
		defer ticker.Stop()
		forward(ctx, ticker.C, ticks)
	}()
	return ticks
}

func forward(ctx context.Context, source <-chan time.Time, ch chan<- time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case t := <-source:
			trySend(ch, t)
		}
	}
}

func trySend(ch chan<- time.Time, t time.Time) {
	select {
	case ch <- t:
	default:
	}
}
