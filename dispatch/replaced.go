package dispatch

import (
	"siskincove/statement"
	"siskincove/verdict"
)

// errBeingReplaced returns the failure of a write that was not sent to a primary whose replacement has been requested. The promoted
// log may lack what it would acknowledge.
func errBeingReplaced() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Aborted, "primary is being replaced").WithRetryAfter(defaultRetryAfter)
}

// doubtful returns the answer to a write that a primary acknowledged after its replacement had been requested.
func (w *workItem) doubtful(r statement.Request, a statement.Answer) statement.Answer {
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "primary is being replaced; it acknowledged request %s", r.ID)
	w.lastFailure = failure
	return statement.Answer{Failure: failure, State: a.State, Position: a.Position}
}
