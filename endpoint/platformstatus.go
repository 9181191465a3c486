package endpoint

import "time"

// PlatformStatus is the status that an endpoint reports if its platform manages the group's term and promotions. Status is
// its counterpart for groups whose promotions siskincove manages.
type PlatformStatus struct {
	Role Role
	// Term is the newest term that the endpoint knows.
	Term FencedTerm
	// Log is the end of the received log, which may be ahead of what reads on the endpoint see.
	Log Position
	// Held is the term of the hold that keeps a replica from receiving, 0 for none.
	Held FencedTerm
	// Lag is a replica's own estimate of how far its data is behind.
	Lag time.Duration
	// BusySlots is the number of slots in use.
	BusySlots int
	// Connections is the number of open connections.
	Connections int
}
