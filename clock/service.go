package clock

import (
	"context"
	"time"
)

// Service is a clock: it provides the time and timers. System and Boot use the machine's clocks; tests use Manual.
type Service interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives one time once d has passed.
	After(d time.Duration) <-chan time.Time
	// Every returns a channel that receives a time each interval until ctx ends.
	Every(ctx context.Context, interval time.Duration) <-chan time.Time
}

// Wait blocks for d; it returns ctx's error if ctx ends first.
func Wait(ctx context.Context, clk Service, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clk.After(d):
		return nil
	}
}
