package endpoint

// Role is the replication role of an endpoint in its group.
type Role uint8

const (
	// Unknown means that the endpoint did not answer.
	Unknown Role = iota
	// Primary accepts writes.
	Primary
	// Replica follows a primary.
	Replica
	// Stopped neither replicates nor accepts writes, as after a fence.
	Stopped
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case Primary:
		return "primary"
	case Replica:
		return "replica"
	case Stopped:
		return "stopped"
	default:
		return "unknown"
	}
}
