package member

// State is the liveness of an instance as this one sees it.
type State uint8

const (
	// Unproven instances are known from the roster or a rumour but have not answered yet.
	Unproven State = iota
	// Alive instances answer heartbeats.
	Alive
	// Suspect instances have missed a heartbeat but still count as live.
	Suspect
	// Leaving instances have announced that they are shutting down.
	Leaving
	// Dead instances have missed several heartbeats in a row.
	Dead
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Unproven:
		return "unproven"
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	default:
		return "dead"
	}
}

// Live reports whether an instance in the state may own endpoints.
func (s State) Live() bool { return s == Alive || s == Suspect }
