package platform

import "time"

// Faults are what the platform is made to suffer; the zero value is a healthy platform.
type Faults struct {
	// Down refuses every request.
	Down bool
	// Slow delays every request.
	Slow time.Duration
	// LosePuts is how many coming writes take effect without an answer.
	LosePuts int
	// RosterDown refuses requests for the list only.
	RosterDown bool
}
