package limit

import "time"

const (
	// failuresToOpen is the number of consecutive failures that open the circuit.
	failuresToOpen = 3
	// minOpenTime and maxOpenTime bound the time for which the circuit stays open, unless NewCircuit sets another maximum.
	minOpenTime = 50 * time.Millisecond
	maxOpenTime = time.Second
)

// Circuit is a circuit breaker: it stops attempts at something that keeps failing. It is an immutable value.
type Circuit struct {
	failures    int
	openUntil   time.Time
	openTime    time.Duration
	maxOpenTime time.Duration
}

// NewCircuit returns a closed circuit that stays open for at most the given time after a failure.
func NewCircuit(maxOpenTime time.Duration) Circuit { return Circuit{maxOpenTime: maxOpenTime} }

// Allows reports whether an attempt may be made at now.
func (c Circuit) Allows(now time.Time) bool {
	return !c.Failed() || !now.Before(c.openUntil)
}

// Remaining returns for how long attempts are still refused.
func (c Circuit) Remaining(now time.Time) time.Duration {
	if c.Allows(now) {
		return 0
	}
	return c.openUntil.Sub(now)
}

// WithSuccess returns the circuit after a successful attempt.
func (c Circuit) WithSuccess() Circuit { return Circuit{maxOpenTime: c.maxOpenTime} }

// Failed reports whether the circuit has opened since the last successful attempt.
func (c Circuit) Failed() bool { return c.failures >= failuresToOpen }

// WithSilence returns the circuit after an attempt that got no answer at all, which opens it at once.
func (c Circuit) WithSilence(now time.Time) Circuit {
	c.failures = max(c.failures, failuresToOpen)
	return c.WithFailure(now)
}

// WithFailure returns the circuit after a failed attempt. Each further consecutive failure doubles the time it stays
// open.
func (c Circuit) WithFailure(now time.Time) Circuit {
	c.failures++
	if !c.Failed() {
		return c
	}
	longest := maxOpenTime
	if c.maxOpenTime > 0 {
		longest = c.maxOpenTime
	}
	c.openTime = min(max(2*c.openTime, minOpenTime), longest)
	c.openUntil = now.Add(c.openTime)
	return c
}
