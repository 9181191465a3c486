package member

// Change is an instance whose state has changed.
type Change struct {
	Instance Instance
	Before   State
}

// Rumour is a peer's view of an instance, as gossiped in heartbeats. It never sets the instance's state here; at most it
// makes this instance send it a heartbeat soon.
type Rumour struct {
	ID          string
	Address     string
	Domain      string
	Incarnation uint64
	State       State
}
