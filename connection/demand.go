package connection

import (
	"time"

	"siskincove/config"
	"siskincove/limit"
)

// Target is an endpoint to connect to, and the workspace on whose behalf.
type Target struct {
	Endpoint config.Endpoint
	// Workspace is the workspace that is named to the endpoint, empty for the connections of the instances themselves and of
	// callers without a workspace. It can't change while the connection is open.
	Workspace string
}

// Demand is what a statement or transaction needs of a pool.
type Demand struct {
	// Workspace is the workspace that the connection must belong to, empty for none.
	Workspace string
	// Class is the class in which the demand waits for a slot, until Deadline at most, and Flow the flow within it.
	Class    limit.Class
	Flow     string
	Deadline time.Time
	// Target is until when the answer is on time, zero for Deadline.
	Target time.Time
	// Settings are the session's; a connection that has them already is preferred.
	Settings map[string]string
}
