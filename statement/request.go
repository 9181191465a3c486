package statement

// Request is a caller's statement.
type Request struct {
	// ID identifies the request in logs and at the endpoint.
	ID   string
	Kind Kind
	// Name is the name of the setting for Set, and of the prepared statement for Prepare, Execute and Forget.
	Name string
	// Value is the value of the setting for Set, the statement text for Prepare, and the arguments for Execute.
	Value string
	// Writes is set if the statement changes data; for Prepare, if the prepared statement does.
	Writes bool
	// Text is the statement as the caller sent it.
	Text string
}

// StartupParameters holds the parameters with which a caller starts a session.
type StartupParameters struct {
	// Database is the name that the caller connects to.
	Database string
	// User is the name that the caller presents, or the key of its workspace where workspaces are configured. It must not be
	// logged.
	User string
}
