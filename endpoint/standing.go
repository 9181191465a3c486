package endpoint

import "time"

// Standing is what an endpoint of a group with a term of its own says of itself.
type Standing struct {
	Role Role
	// Term is the newest term that the endpoint knows.
	Term FencedTerm
	// Log is how far the endpoint has received, which may be ahead of what can be read there.
	Log Position
	// Held is the term of the hold that keeps a replica from receiving, 0 for none.
	Held FencedTerm
	// Lag is how far a replica believes its data to be behind.
	Lag time.Duration
	// Busy is how many slots are taken.
	BusySlots int
	// Connections is how many connections are open.
	Connections int
}
