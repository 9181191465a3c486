package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock for tests whose time advances only by Advance.
type Manual struct {
	mu     sync.Mutex
	now    time.Time
	timers []*timer
}

type timer struct {
	due      time.Time
	interval time.Duration
	ctx      context.Context
	ch       chan time.Time
}

// NewManual returns a clock whose time is start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current manual time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After returns a channel that receives one time once the clock has been advanced by d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	return m.add(context.Background(), d, 0)
}

// Every returns a channel that receives a time each interval until ctx ends. Several intervals in one Advance give one
// time.
func (m *Manual) Every(ctx context.Context, interval time.Duration) <-chan time.Time {
	return m.add(ctx, interval, interval)
}

func (m *Manual) add(ctx context.Context, d, interval time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &timer{due: m.now.Add(d), interval: interval, ctx: ctx, ch: make(chan time.Time, 1)}
	m.timers = append(m.timers, t)
	return t.ch
}

// Advance moves the time forward by d and fires the timers that are due.
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

// fire sends the current time if t is due. It reports whether t is still needed.
func (m *Manual) fire(t *timer) bool {
	if t.ctx.Err() != nil {
		return false
	}
	if t.due.After(m.now) {
		return true
	}
	trySend(t.ch, m.now)
	if t.interval == 0 {
		return false
	}
	for !t.due.After(m.now) {
		t.due = t.due.Add(t.interval)
	}
	return true
}
