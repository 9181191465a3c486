package verdict

// Reason names why a request was refused or failed. Its values are stable; they appear in logs and metrics.
type Reason string

const (
	// Overload means that the request could not be served before its deadline.
	Overload Reason = "overload"
	// Stale means that no replica within the staleness allowance was available.
	Stale Reason = "stale"
	// NotPrimary means that the endpoint does not accept writes.
	NotPrimary Reason = "notprimary"
	// Unreachable means that the endpoint or its owner could not be reached.
	Unreachable Reason = "unreachable"
	// Unconfirmed means that a majority did not confirm a commit in time.
	Unconfirmed Reason = "unconfirmed"
	// Unconfirmable means that too few replicas follow the primary closely enough to confirm a commit.
	Unconfirmable Reason = "unconfirmable"
	// Broken means that a connection failed after a statement was sent on it.
	Broken Reason = "broken"
	// Leaving means that the endpoint or instance is leaving and takes no new work.
	Leaving Reason = "leaving"
	// Unconfigured means that the instance has no configuration revision yet.
	Unconfigured Reason = "unconfigured"
	// Unsupported means that the request uses an unsupported feature.
	Unsupported Reason = "unsupported"
	// Budget means that the retry budget is exhausted.
	Budget Reason = "budget"
	// ReadOnly means that a write reached an endpoint that serves reads only.
	ReadOnly Reason = "readonly"
	// Canceled means that the caller gave up.
	Canceled Reason = "canceled"
	// Failed means that the endpoint ran the statement and reported a failure.
	Failed Reason = "failed"
	// Timeout means that the statement's timeout expired.
	Timeout Reason = "timeout"
	// Aborted means that the transaction was lost before its commit was sent.
	Aborted Reason = "aborted"
	// Unprepared means that the prepared statement is not known.
	Unprepared Reason = "unprepared"
	// Unrouted means that no route has the name that the caller connects to.
	Unrouted Reason = "unrouted"
	// Misrouted means that another endpoint answers at the address.
	Misrouted Reason = "misrouted"
	// Connections means that the endpoint admits no further connection.
	Connections Reason = "connections"
	// Malformed means that the request can't be parsed or is not allowed in the session's state.
	Malformed Reason = "malformed"
	// Oversized means that the request exceeds a size limit.
	Oversized Reason = "oversized"
)
