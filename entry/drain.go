package entry

import (
	"context"
	"time"
)

const drainInterval = 10 * time.Millisecond

// Drain stops accepting connections, ends idle sessions and waits until every session has ended. It returns 0 then, or
// the number of requests and transactions still in flight when ctx ended.
func (s *Server) Drain(ctx context.Context) int64 {
	_ = s.listener.Close()
	s.drainOnce.Do(func() { close(s.draining) })
	s.wakeIdle()
	ticks := s.options.Clock.Every(ctx, drainInterval)
	for s.Sessions() > 0 {
		select {
		case <-ctx.Done():
			return s.Inflight()
		case <-ticks:
			s.wakeIdle()
		}
	}
	return 0
}

// wakeIdle interrupts the sessions that wait for their caller's next request, so that they notice the draining.
func (s *Server) wakeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.wake()
	}
}

func (s *Server) isDraining() bool {
	select {
	case <-s.draining:
		return true
	default:
		return false
	}
}
