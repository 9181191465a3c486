package connection

import "time"

// overtakenServiceTimes is after how many mean service times a statement counts as overtaken; service times vary severalfold.
const overtakenServiceTimes = 4

// flight tracks the statements in flight at an endpoint, which runs them in order of arrival.
type flight struct {
	// sent is when each statement in flight was sent, in that order.
	sent []time.Time
	// answered is when the latest statement that was answered had been sent.
	answered time.Time
}

// begin records that a statement is sent.
func (f *flight) begin(now time.Time) { f.sent = append(f.sent, now) }

// end records that a statement sent at the given time is no longer in flight.
func (f *flight) end(sent time.Time, answered bool) {
	for i, at := range f.sent {
		if at.Equal(sent) {
			f.sent = append(f.sent[:i], f.sent[i+1:]...)
			break
		}
	}
	if answered && sent.After(f.answered) {
		f.answered = sent
	}
}

// isOvertaken reports whether a statement sent later has been answered, long after this one was sent: the endpoint has not refused
// it a slot, but runs it unusually long or does not answer it.
func (f *flight) isOvertaken(sent, now time.Time, serviceTime time.Duration) bool {
	return f.answered.After(sent) && now.Sub(sent) > overtakenServiceTimes*serviceTime
}

// overtaken returns the number of statements in flight that are overtaken.
func (f *flight) overtaken(now time.Time, serviceTime time.Duration) int {
	n := 0
	for _, sent := range f.sent {
		if f.isOvertaken(sent, now, serviceTime) {
			n++
		}
	}
	return n
}
