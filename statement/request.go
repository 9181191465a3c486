package statement

// Request is a statement of a caller.
type Request struct {
	// ID names the request in logs and at the endpoint.
	ID   string
	Kind Kind
	// Name is the setting of Set and the prepared statement of Prepare, Execute and Forget.
	Name string
	// Value is the value of Set, the shape of Prepare and the arguments of Execute.
	Value string
	// Writes tells that the statement changes data; for Prepare, that the prepared statement does.
	Writes bool
	// Text is the statement as the caller wrote it.
	Text string
}

// Opening is how a caller starts a session.
type Opening struct {
	// Database is the name that the caller connects to.
	Database string
	// User is the name that the caller gives itself.
	User string
}
