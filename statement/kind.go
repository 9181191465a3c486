package statement

// Kind says what a statement does.
type Kind uint8

const (
	// Begin opens a transaction that may write.
	Begin Kind = iota + 1
	// BeginRead opens a transaction that only reads.
	BeginRead
	// Commit ends a transaction and keeps its writes.
	Commit
	// Rollback ends a transaction without effect.
	Rollback
	// Read returns rows.
	Read
	// Write changes data.
	Write
	// Set gives a session setting a value.
	Set
	// Prepare names a statement for later use.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Forget drops a prepared statement.
	Forget
	// Reset clears a connection's settings and prepared statements; it is never sent by callers.
	Reset
	// Status asks an endpoint for its role and log; it is never sent by callers.
	Status
	// Hold stops a replica from receiving; it is never sent by callers.
	Hold
	// Resume ends a hold; it is never sent by callers.
	Resume
	// Demote makes a primary a replica; it is never sent by callers.
	Demote
)

var names = map[Kind]string{
	Begin: "begin", BeginRead: "begin read", Commit: "commit", Rollback: "rollback", Read: "read", Write: "write",
	Set: "set", Prepare: "prepare", Execute: "execute", Forget: "forget", Reset: "reset", Status: "status",
	Hold: "hold", Resume: "resume", Demote: "demote",
}

// String returns the kind's name as it appears in logs.
func (k Kind) String() string { return names[k] }
