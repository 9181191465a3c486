package entry

import (
	"context"
	"time"
)

const drainInterval = 10 * time.Millisecond

// Drain stops accepting, ends idle sessions and waits until the requests and transactions in flight have ended; it
// returns how many were left when ctx ended.
func (e *Server) Drain(ctx context.Context) int64 {
	_ = e.listener.Close()
	e.drainOnce.Do(func() { close(e.draining) })
	e.wakeIdle()
	ticks := e.options.Clock.Every(ctx, drainInterval)
	for e.Sessions() > 0 {
		select {
		case <-ctx.Done():
			return e.Inflight()
		case <-ticks:
			e.wakeIdle()
		}
	}
	return 0
}

// wakeIdle interrupts the reads of sessions that wait for their caller's next request.
func (e *Server) wakeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.callers {
		c.wake()
	}
}

func (e *Server) drains() bool {
	select {
	case <-e.draining:
		return true
	default:
		return false
	}
}
