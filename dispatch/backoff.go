package dispatch

import (
	"math/rand/v2"
	"time"
)

const (
	// initialBackoffShare and maxBackoffShare set the pauses between attempts at endpoints without a free slot, as
	// shares of the statement's timeout, so that statements with less time retry more often. backoffGrowth multiplies
	// the pause after each attempt: a statement that has waited long is already late, so it leaves free slots to those
	// that can still finish in time.
	initialBackoffShare = 1.0 / 250
	maxBackoffShare     = 1.0 / 30
	backoffGrowth       = 1.5
	// urgentBackoffFactor shortens the pauses of high priorities, and openTransactionBackoffFactor those of statements
	// in an open transaction, whose earlier work would be lost.
	urgentBackoffFactor          = 0.5
	openTransactionBackoffFactor = 0.15
	// lowestUrgentPriority is the lowest priority that counts as urgent; 0 is the highest priority.
	lowestUrgentPriority = 1
)

// backoff holds the pause before the next attempt of a statement that found no free slot, and its upper bound.
type backoff struct {
	pause, maxPause time.Duration
}

func newBackoff(timeout time.Duration, priority int) backoff {
	factor := 1.0
	if priority <= lowestUrgentPriority {
		factor = urgentBackoffFactor
	}
	return backoff{pause: time.Duration(factor * initialBackoffShare * float64(timeout)), maxPause: time.Duration(factor * maxBackoffShare * float64(timeout))}
}

// scaled returns the backoff with both pauses multiplied by factor.
func (b backoff) scaled(factor float64) backoff {
	return backoff{pause: time.Duration(factor * float64(b.pause)), maxPause: time.Duration(factor * float64(b.maxPause))}
}

// nextBackoff returns the pause before the next attempt and increases the one after it.
func (w *workItem) nextBackoff() time.Duration {
	pause := jitter(w.backoff.pause)
	w.backoff.pause = min(time.Duration(backoffGrowth*float64(w.backoff.pause)), w.backoff.maxPause)
	return pause
}

// jitter returns a random duration between 0.5 and 1.5 times d, so that callers refused together do not retry together.
func jitter(d time.Duration) time.Duration { return time.Duration((0.5 + rand.Float64()) * float64(d)) }
