package history

import (
	"slices"
	"time"

	"siskincove/standin/hosting"
)

// Grant is the time during which a workspace held a key.
type Grant struct {
	Key       string
	Workspace string
	// From is before the configuration that gave the key was published, Until after the one that took it was; zero Until means
	// that the workspace still holds it.
	From, Until time.Time
}

// Allotment is what a workspace may run.
type Allotment struct {
	Workspace string
	// Rate is in operations per second, Burst in operations.
	Rate, Burst float64
}

// Workspaces is what the operator declared of workspaces, and which bounds hold.
type Workspaces struct {
	Grants     []Grant
	Allotments []Allotment
	// RevocationLimit is how long after a key was taken a request that presents it may still be sent and run.
	RevocationLimit time.Duration
	// Window is the length of the intervals in which operations count, Overage the share and Tolerance the number by which
	// they may exceed the allotment.
	Window    time.Duration
	Overage   float64
	Tolerance int
}

// checkWorkspaces checks that every run was made for the workspace that held the session's key, and that no workspace ran
// more than its allotment.
func (c *checker) checkWorkspaces() {
	if len(c.Workspaces.Grants) == 0 {
		return
	}
	for _, o := range c.Operations {
		for _, index := range c.runIndexes[o.ID] {
			c.checkIdentity(o, c.Runs[index])
		}
	}
	starts := c.operationStarts()
	for _, a := range c.Workspaces.Allotments {
		c.checkAllotment(a, starts[a.Workspace])
	}
}

// checkIdentity checks that a run was made for a workspace that held the key while the request was under way.
func (c *checker) checkIdentity(o Operation, run hosting.Run) {
	held := false
	for _, g := range c.Workspaces.Grants {
		if g.Key != o.Key || g.Workspace != run.User || g.From.After(run.Started) {
			continue
		}
		if g.Until.IsZero() || !o.Sent.After(g.Until.Add(c.Workspaces.RevocationLimit)) {
			return
		}
		held = true
	}
	if held {
		c.report("revoked: %s of %s ran for %s, which no longer holds the key", o.ID, o.Session, run.User)
		return
	}
	c.report("wrong workspace: %s of %s ran for %s, which does not hold the key", o.ID, o.Session, run.User)
}

// operationStarts returns when the operations of each workspace ran first, in order. A transaction is one operation.
func (c *checker) operationStarts() map[string][]time.Time {
	first := make(map[string]hosting.Run)
	for _, o := range c.Operations {
		name := o.ID
		if o.Transaction > 0 {
			name = o.transactionName()
		}
		for _, index := range c.runIndexes[o.ID] {
			if known, ok := first[name]; !ok || c.Runs[index].Started.Before(known.Started) {
				first[name] = c.Runs[index]
			}
		}
	}
	out := make(map[string][]time.Time)
	for _, run := range first {
		out[run.User] = append(out[run.User], run.Started)
	}
	for _, starts := range out {
		slices.SortFunc(starts, time.Time.Compare)
	}
	return out
}

// checkAllotment checks each interval that begins with an operation.
func (c *checker) checkAllotment(a Allotment, starts []time.Time) {
	w := c.Workspaces
	limit := int((a.Rate*w.Window.Seconds()+a.Burst)*(1+w.Overage)) + w.Tolerance
	end := 0
	for n, start := range starts {
		for end < len(starts) && starts[end].Sub(start) < w.Window {
			end++
		}
		if end-n > limit {
			c.report("allotment: %s ran %d operations within %s, at most %d are allowed", a.Workspace, end-n, w.Window, limit)
			return
		}
	}
}
