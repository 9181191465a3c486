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
	// Forget drops a prepared statement, like DEALLOCATE in PostgreSQL.
	Forget
	// Reset clears a connection's settings and prepared statements. Only the proxy sends this kind and the following ones.
	Reset
	// Status asks an endpoint for its role, term and log position.
	Status
	// Hold stops a replica from receiving the log until Resume. It carries a term, by which holds differ.
	Hold
	// Resume releases a replica from its hold, so that it receives the log again.
	Resume
	// Demote makes a primary a replica.
	Demote
)

var kindNames = map[Kind]string{
	Begin: "begin", BeginRead: "begin read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Forget: "forget", Reset: "reset", Status: "status",
	Hold: "hold", Resume: "resume", Demote: "demote",
}

// String returns the kind's name as it appears in logs.
func (k Kind) String() string { return kindNames[k] }
