package limit

import "time"

const (
	// failuresToOpen is how many failures in a row open the circuit.
	failuresToOpen = 3
	openMinimum    = 50 * time.Millisecond
	openMaximum    = time.Second
)

// Circuit stops attempts at something that keeps failing; it is an immutable value.
type Circuit struct {
	failures int
	until    time.Time
	open     time.Duration
}

// Allows reports whether an attempt may be made at now.
func (c Circuit) Allows(now time.Time) bool {
	return c.failures < failuresToOpen || !now.Before(c.until)
}

// Remaining returns how long attempts are still refused.
func (c Circuit) Remaining(now time.Time) time.Duration {
	if c.Allows(now) {
		return 0
	}
	return c.until.Sub(now)
}

// WithSuccess returns the circuit after an attempt that worked.
func (c Circuit) WithSuccess() Circuit { return Circuit{} }

// WithFailure returns the circuit after an attempt that failed; each failure in a row doubles the pause.
func (c Circuit) WithFailure(now time.Time) Circuit {
	c.failures++
	if c.failures < failuresToOpen {
		return c
	}
	c.open = min(max(2*c.open, openMinimum), openMaximum)
	c.until = now.Add(c.open)
	return c
}
