package statement

// Kind is the type of a statement.
type Kind uint8

const (
	// Begin opens a transaction that may write.
	Begin Kind = iota + 1
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction and discards its writes.
	Rollback
	// Read returns rows.
	Read
	// Write changes data.
	Write
	// Set sets a session setting to a value.
	Set
	// Prepare prepares a statement under a name for later use.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Forget drops a prepared statement.
	Forget
	// Reset clears a connection's settings and prepared statements. Callers never send it.
	Reset
	// Status asks an endpoint for its role and log. Callers never send it.
	Status
	// Hold stops a replica from receiving the log. Callers never send it.
	Hold
	// Resume lets a replica stopped by Hold receive the log again. Callers never send it.
	Resume
	// Demote makes a primary a replica. Callers never send it.
	Demote
)

var kindNames = map[Kind]string{
	Begin: "begin", BeginRead: "begin read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Forget: "forget", Reset: "reset", Status: "status",
	Hold: "hold", Resume: "resume", Demote: "demote",
}

// String returns the kind's name as it appears in logs.
func (k Kind) String() string { return kindNames[k] }
