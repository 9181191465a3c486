package transfer

import (
	"maps"
	"time"
)

const (
	// RequestBytes is how much a receiver asks for at once. It bounds how long other messages wait on a slow link.
	RequestBytes = 32 << 10
	// receivers is how many instances a sender serves at once, so that transfers end one after the other.
	receivers = 2
	// idleLimit is after how long without a request a receiver gives up its place.
	idleLimit = 300 * time.Millisecond
	// minWait and maxWait bound the time after which a receiver that was not served should ask again.
	minWait = 30 * time.Millisecond
	maxWait = time.Second
)

// Admission is the set of receivers that a sender serves. It is immutable; the zero value serves nobody.
type Admission struct{ served map[string]service }

// service is what a sender knows of a receiver that it serves.
type service struct {
	since, asked time.Time
	// first and missing are how many bytes the receiver lacked at its first and at its last request.
	first, missing int
}

// remaining returns how long the receiver will take at the pace so far.
func (s service) remaining() time.Duration {
	done := s.first - s.missing
	if done <= 0 {
		return minWait
	}
	return time.Duration(float64(s.asked.Sub(s.since)) * float64(s.missing) / float64(done))
}

// With returns the admission after a receiver that lacks a number of bytes has asked for some of them. It returns 0 if the receiver is
// to be served, and otherwise when it should ask again.
func (a Admission) With(receiver string, missing int, now time.Time) (Admission, time.Duration) {
	next := a.without(now)
	s, served := next.served[receiver]
	switch {
	case missing <= RequestBytes:
		// This request completes the value; it needs no place and frees one.
		delete(next.served, receiver)
		return next, 0
	case served && missing <= s.first:
		s.asked, s.missing = now, missing
	case served || len(next.served) < receivers:
		s = service{since: now, asked: now, first: missing, missing: missing}
	default:
		return next, next.wait()
	}
	next.served[receiver] = s
	return next, 0
}

// without returns a copy without the receivers that have not asked for idleLimit.
func (a Admission) without(now time.Time) Admission {
	next := Admission{served: maps.Clone(a.served)}
	if next.served == nil {
		next.served = make(map[string]service)
	}
	maps.DeleteFunc(next.served, func(_ string, s service) bool { return now.Sub(s.asked) >= idleLimit })
	return next
}

// wait returns when the first place is expected to be free.
func (a Admission) wait() time.Duration {
	first := maxWait
	for _, s := range a.served {
		first = min(first, s.remaining())
	}
	return max(first, minWait)
}
