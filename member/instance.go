package member

import "time"

// Instance is an instance of the proxy as this one knows it.
type Instance struct {
	ID      string
	Address string
	// Domain is the failure domain, written region/domain.
	Domain string
	// Incarnation grows with each start of the instance.
	Incarnation uint64
	State       State
	// Missed counts the heartbeats missed in a row.
	Missed int
	// Since is when the instance entered the state. For a dead one it is reset by each retry.
	Since time.Time
}

// WithState returns a copy in another state.
func (i Instance) WithState(state State, now time.Time) Instance {
	if i.State != state {
		i.State = state
		i.Since = now
	}
	return i
}
