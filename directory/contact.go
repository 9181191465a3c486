package directory

import "time"

const (
	// lostAfter is how long the store must have left calls unanswered, or refused them, to count as lost to this instance.
	lostAfter = 400 * time.Millisecond
	// regainedAfter is how long it must have answered all calls then to count as regained.
	regainedAfter = 2 * time.Second
)

// contact is how long the store has answered, or not answered, a kind of read. It is an immutable value; the zero value holds no
// call.
type contact struct {
	// answeredAt is when the store last answered, zero if it has not.
	answeredAt time.Time
	// failingSince is when the first of the latest calls in a row that failed was due to be answered, zero if the last one was.
	failingSince time.Time
	// answeringSince is when the first of the latest calls in a row that were answered was, zero if the last one failed.
	answeringSince time.Time
	// lost is set if the store does not answer this instance.
	lost bool
}

// withAnswer returns the contact after an answer.
func (c contact) withAnswer(now time.Time) contact {
	c.answeredAt, c.failingSince = now, time.Time{}
	if c.answeringSince.IsZero() {
		c.answeringSince = now
	}
	c.lost = c.lost && now.Sub(c.answeringSince) < regainedAfter
	return c
}

// withFailure returns the contact after a call failed that was due to be answered at a time.
func (c contact) withFailure(due, now time.Time) contact {
	if c.failingSince.IsZero() {
		c.failingSince = due
		if due.After(now) {
			c.failingSince = now
		}
	}
	c.answeringSince = time.Time{}
	c.lost = c.lost || now.Sub(c.failingSince) >= lostAfter
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
