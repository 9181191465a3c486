package loan

import (
	"maps"
	"sync"
	"time"

	"siskincove/clock"
)

const (
	// minSilencePause and maxSilencePause bound how long a holder that did not answer is not asked again. Each further time
	// doubles the pause. In the first one heartbeats tell whether the holder is dead.
	minSilencePause = time.Second
	maxSilencePause = 2 * time.Second
	// refusalPause is how long a holder is not asked again for an endpoint that it does not hold. Views of the instances
	// agree again within a few rounds of heartbeats.
	refusalPause = time.Second
	// unreachablePause is how long a holder is not asked again for an endpoint that it can't reach. It is as long as the holder's
	// own longest pause between attempts.
	unreachablePause = 250 * time.Millisecond
)

// silence records how long a holder is not to be asked because it did not answer. It is an immutable value.
type silence struct {
	until time.Time
	pause time.Duration
}

// withSilence returns the record after another exchange without an answer. Exchanges that were under way when the pause
// began do not lengthen it.
func (s silence) withSilence(now time.Time) silence {
	if now.Before(s.until) {
		return s
	}
	pause := min(max(2*s.pause, minSilencePause), maxSilencePause)
	return silence{until: now.Add(pause), pause: pause}
}

// holderState is what a borrower knows of a holder, and its connections there.
type holderState struct {
	silence silence
	// refusedUntil is until when the holder is not asked for connections to an endpoint that it does not hold or can't reach.
	refusedUntil map[string]time.Time
	conns        map[*Conn]struct{}
}

// active reports whether the state still keeps the holder from being asked.
func (s *holderState) active(now time.Time) bool {
	for _, until := range s.refusedUntil {
		if now.Before(until) {
			return true
		}
	}
	return now.Before(s.silence.until)
}

// Health tracks, for all borrowed connections of an instance, which holders answer. A holder answers before the deadline of
// an exchange even if the endpoint does not, so one that doesn't is cut off, stopped or overloaded.
type Health struct {
	clock clock.Service

	mu      sync.Mutex
	holders map[string]*holderState
}

// NewHealth returns a Health without holders.
func NewHealth(clk clock.Service) *Health {
	return &Health{clock: clk, holders: make(map[string]*holderState)}
}

// MayAsk reports whether the holder at an address may be asked for a connection to an endpoint: it has neither failed to answer
// recently nor said that it does not lend connections to that endpoint or can't reach it.
func (h *Health) MayAsk(address, endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.holders[address]
	if !ok {
		return true
	}
	now := h.clock.Now()
	return !now.Before(s.silence.until) && !now.Before(s.refusedUntil[endpoint])
}

// recordRefusal records that the holder at an address does not lend connections to an endpoint: it is leaving, or its view of
// the instances differs from this one's.
func (h *Health) recordRefusal(address, endpoint string) { h.pause(address, endpoint, refusalPause) }

// recordUnreachable records that the holder at an address can't reach an endpoint, which others may.
func (h *Health) recordUnreachable(address, endpoint string) {
	h.pause(address, endpoint, unreachablePause)
}

// recordReachable records that the holder at an address answered and may be asked for an endpoint's connections again.
func (h *Health) recordReachable(address, endpoint string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.holders[address]; s != nil {
		delete(s.refusedUntil, endpoint)
	}
}

// pause records that the holder at an address is not to be asked for connections to an endpoint for a while.
func (h *Health) pause(address, endpoint string, pause time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	maps.DeleteFunc(h.holders, func(_ string, s *holderState) bool { return len(s.conns) == 0 && !s.active(now) })
	s := h.stateOf(address)
	maps.DeleteFunc(s.refusedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	s.refusedUntil[endpoint] = now.Add(pause)
}

// stateOf returns what is known of the holder at an address; h.mu must be held.
func (h *Health) stateOf(address string) *holderState {
	s, ok := h.holders[address]
	if !ok {
		s = &holderState{refusedUntil: make(map[string]time.Time), conns: make(map[*Conn]struct{})}
		h.holders[address] = s
	}
	return s
}

// add records a connection to the holder at an address.
func (h *Health) add(address string, c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stateOf(address).conns[c] = struct{}{}
}

// remove forgets a connection that was closed.
func (h *Health) remove(address string, c *Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.holders[address]
	if s == nil {
		return
	}
	delete(s.conns, c)
	if len(s.conns) == 0 && !s.active(h.clock.Now()) {
		delete(h.holders, address)
	}
}

// recordAnswer records that the holder at an address answered.
func (h *Health) recordAnswer(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.holders[address]; s != nil {
		s.silence = silence{}
	}
}

// Holders returns the addresses of the holders that this instance has borrowed connections from.
func (h *Health) Holders() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]string, 0, len(h.holders))
	for address := range h.holders {
		out = append(out, address)
	}
	return out
}

// RecordSilence records that the holder at an address did not answer an exchange or a heartbeat in time. It retires the
// holder's connections, so that no further statement waits there.
func (h *Health) RecordSilence(address string) {
	h.mu.Lock()
	s := h.holders[address]
	if s == nil {
		h.mu.Unlock()
		return
	}
	s.silence = s.silence.withSilence(h.clock.Now())
	conns := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	h.mu.Unlock()
	for _, c := range conns {
		c.retire()
	}
}
