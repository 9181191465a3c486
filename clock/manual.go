package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a service whose time moves only by Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []*timer
}

type timer struct {
	due   time.Time
	every time.Duration
	ctx   context.Context
	to    chan time.Time
}

// NewManual returns a service that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the service's time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives one time once the service has moved by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	return m.add(context.Background(), d, 0)
}

// Every returns a channel that receives a time each interval until ctx ends.
func (m *Manual) Every(ctx context.Context, interval time.Duration) <-chan time.Time {
	return m.add(ctx, interval, interval)
}

func (m *Manual) add(ctx context.Context, d, every time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &timer{due: m.now.Add(d), every: every, ctx: ctx, to: make(chan time.Time, 1)}
	m.timers = append(m.timers, t)
	return t.to
}

// Advance moves the time by d and fires what has come due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	kept := m.timers[:0]
	for _, t := range m.timers {
		if m.fire(t) {
			kept = append(kept, t)
		}
	}
	m.timers = kept
}

func (m *Manual) fire(t *timer) bool {
	if t.ctx.Err() != nil {
		return false
	}
	if t.due.After(m.now) {
		return true
	}
	offer(t.to, m.now)
	if t.every == 0 {
		return false
	}
	for !t.due.After(m.now) {
		t.due = t.due.Add(t.every)
	}
	return true
}
