package dispatch

import (
	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

// errBeingReplaced returns the failure of a write that was not sent to a primary whose replacement has been requested. The promoted
// log may lack what it would acknowledge.
func errBeingReplaced() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Aborted, "primary is being replaced").WithRetryAfter(defaultRetryAfter)
}

// acknowledgedDoubtfully records that an endpoint acknowledged a write outside a transaction, or the commit of one that wrote, and reports
// whether the promoted log may lack it. It is recorded first: an instance that hears of a promotion between the two tells the
// coordinator of the write.
func (w *workItem) acknowledgedDoubtfully(c group.Choice, a statement.Answer) bool {
	w.database.RecordAcknowledged(a.Position)
	return w.database.MayLack(c.Endpoint.Name, a.Position)
}

// doubtful returns the answer to a write that a primary acknowledged after its replacement had been requested.
func (w *workItem) doubtful(r statement.Request, a statement.Answer) statement.Answer {
	failure := verdict.New(verdict.MayHaveRun, verdict.Broken, "primary is being replaced; it acknowledged request %s", r.ID)
	w.lastFailure = failure
	return statement.Answer{Failure: failure, State: a.State, Position: a.Position}
}
