package member

// Change is an instance whose state has changed, or that takes part in the placement or no longer does (Moved).
type Change struct {
	Instance Instance
	Before   State
	Moved    bool
}

// Rumour is a peer's view of an instance, as gossiped in heartbeats. It never sets the state of a known instance in the
// table: it only adds an unknown instance as unproven, or makes the next heartbeat to a known one urgent.
type Rumour struct {
	ID          string
	Address     string
	Domain      string
	Incarnation uint64
	State       State
}
