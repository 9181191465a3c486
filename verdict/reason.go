package verdict

// Reason names why a request was refused or failed. Its values are stable; they appear in logs and metrics.
type Reason string

const (
	// Overload means that the request was refused because of load: no slot or connection was free in time.
	Overload Reason = "overload"
	// Stale means that the endpoint's data is older than the read accepts.
	Stale Reason = "stale"
	// NotPrimary means that the endpoint does not accept writes because it is not, or not yet, the primary.
	NotPrimary Reason = "notprimary"
	// Unreachable means that no endpoint that could serve the request is known, or that the endpoint or its owner could
	// not be reached.
	Unreachable Reason = "unreachable"
	// Unconfirmed means that a majority did not confirm a commit in time.
	Unconfirmed Reason = "unconfirmed"
	// Unconfirmable means that too few replicas follow the primary closely enough to confirm a commit.
	Unconfirmable Reason = "unconfirmable"
	// Broken means that a connection failed before the request was answered. Whether the request may have run depends on
	// whether it had been sent.
	Broken Reason = "broken"
	// Leaving means that the endpoint or instance is leaving and takes no new work.
	Leaving Reason = "leaving"
	// Unconfigured means that the instance has no configuration yet, or that its configuration lacks the route, database or
	// endpoint.
	Unconfigured Reason = "unconfigured"
	// Unsupported means that the request uses an unsupported feature.
	Unsupported Reason = "unsupported"
	// Budget means that the retry budget is exhausted.
	Budget Reason = "budget"
	// ReadOnly means that a write was sent in a read-only transaction or as a read.
	ReadOnly Reason = "readonly"
	// Canceled means that the caller canceled the request or disconnected.
	Canceled Reason = "canceled"
	// Failed means that the endpoint ran the statement and reported a failure.
	Failed Reason = "failed"
	// Timeout means that the statement's timeout expired.
	Timeout Reason = "timeout"
	// Aborted means that the transaction was rolled back or lost before its commit was sent.
	Aborted Reason = "aborted"
	// Unprepared means that no prepared statement has the given name.
	Unprepared Reason = "unprepared"
	// Unrouted means that no route has the name to which the caller connects.
	Unrouted Reason = "unrouted"
	// Unauthorized: the caller's key belongs to no workspace.
	Unauthorized Reason = "unauthorized"
	// Allotment: the workspace has used its allotment of operations.
	Allotment Reason = "allotment"
	// Unproven: the instance has not confirmed recently that its configuration, which holds the keys, is the newest.
	Unproven Reason = "unproven"
	// Misrouted means that another endpoint answers at the address.
	Misrouted Reason = "misrouted"
	// TooManyConnections means that the endpoint admits no further connection.
	TooManyConnections Reason = "connections"
	// Malformed means that the request can't be parsed or is not allowed in the session's state.
	Malformed Reason = "malformed"
	// Oversized means that the request exceeds a size limit.
	Oversized Reason = "oversized"
)
