package member

// Change is an instance whose state became another.
type Change struct {
	Instance Instance
	Before   State
}

// Rumour is what a peer believes of an instance; it never decides, it only hastens a heartbeat to the instance.
type Rumour struct {
	ID          string
	Address     string
	Domain      string
	Incarnation uint64
	State       State
}
