package directory

import "time"

// contact is how long the store has answered, or not answered, a kind of read. It is an immutable value; the zero value holds no
// call.
type contact struct {
	// answeredAt is when the store last answered, zero if it has not.
	answeredAt time.Time
	// failingSince is when the first of the latest calls in a row that failed was due to be answered, zero if the last one was.
	failingSince time.Time
}

// withAnswer returns the contact after an answer.
func (c contact) withAnswer(now time.Time) contact {
	return contact{answeredAt: now}
}

// withFailure returns the contact after a call failed that was due to be answered at a time.
func (c contact) withFailure(due, now time.Time) contact {
	if c.failingSince.IsZero() {
		c.failingSince = due
		if due.After(now) {
			c.failingSince = now
		}
	}
	return c
}

// failing reports whether the latest call failed.
func (c contact) failing() bool { return !c.failingSince.IsZero() }

// silence returns the time since the store last answered, 0 if it has not.
func (c contact) silence(now time.Time) time.Duration {
	if c.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(c.answeredAt)
}
