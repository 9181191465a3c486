package limit

import "time"

// Request is a request for a slot.
type Request struct {
	Class Class
	// Flow is the flow that the request belongs to, for example a workspace or an instance. The flows of a class share its
	// slots evenly.
	Flow string
	// Target is until when the answer is on time, zero if it is until Deadline. Deadline is until when it is of use.
	Target   time.Time
	Deadline time.Time
}

// withDefaults returns the request with the defaults of its class and with a target.
func (r Request) withDefaults() Request {
	r.Class = r.Class.withDefaults()
	if r.Target.IsZero() || r.Target.After(r.Deadline) {
		r.Target = r.Deadline
	}
	return r
}
