package limit

import "time"

const (
	// failuresToOpen is the number of consecutive failures that open the circuit.
	failuresToOpen = 3
	// minOpenTime and maxOpenTime bound the time for which the circuit stays open.
	minOpenTime = 50 * time.Millisecond
	maxOpenTime = time.Second
)

// Circuit is a circuit breaker: it stops attempts at something that keeps failing. It is an immutable value.
type Circuit struct {
	failures  int
	openUntil time.Time
	openTime  time.Duration
}

// Allows reports whether an attempt may be made at now.
func (c Circuit) Allows(now time.Time) bool {
	return c.failures < failuresToOpen || !now.Before(c.openUntil)
}

// Remaining returns for how long attempts are still refused.
func (c Circuit) Remaining(now time.Time) time.Duration {
	if c.Allows(now) {
		return 0
	}
	return c.openUntil.Sub(now)
}

// WithSuccess returns the circuit after a successful attempt.
func (c Circuit) WithSuccess() Circuit { return Circuit{} }

// WithFailure returns the circuit after a failed attempt. Each further consecutive failure doubles the time it stays
// open.
func (c Circuit) WithFailure(now time.Time) Circuit {
	c.failures++
	if c.failures < failuresToOpen {
		return c
	}
	c.openTime = min(max(2*c.openTime, minOpenTime), maxOpenTime)
	c.openUntil = now.Add(c.openTime)
	return c
}
