package dispatch

import (
	"time"

	"siskincove/database"
	"siskincove/group"
	"siskincove/verdict"
)

const (
	// failoverLimit is the time without a primary after which statements no longer wait for one; the longest measured
	// failover took 4.2 s.
	failoverLimit = 4500 * time.Millisecond
	// outageRetryAfter is the mean time after which callers that are refused for lack of a primary should retry.
	outageRetryAfter = time.Second
)

// round summarizes one round of attempts, in which each endpoint is tried at most once. queueFull is set if a queue for
// connections refused the statement because it was full or the statement's turn would come too late. retryable is set if
// an endpoint refused the statement for a condition that passes soon.
type round struct {
	queueFull, retryable bool
}

// with returns the round after a refusal. An overload failure has a retry time if it comes from the queue of this instance
// or of one that lends its connections, and none if it comes from an endpoint.
func (r round) with(failure *verdict.Error) round {
	switch failure.Reason {
	case verdict.Overload:
		r.queueFull = r.queueFull || failure.RetryAfter > 0
		r.retryable = r.retryable || failure.RetryAfter <= 0
	case verdict.Stale, verdict.NotPrimary:
		r.retryable = true
	}
	return r
}

// waitsForProof reports whether a read that no replica may serve for lack of a recent certificate should wait while
// another read fetches one; if no other read does, it claims the fetch for this one. After a failover or a restart all
// reads are in this state. A read waits only while it is within its latency budget, and only if a certificate can be
// expected and will be recent enough for its staleness allowance.
func (w *workItem) waitsForProof(c group.Choice) bool {
	late := w.session.dispatcher.now().Sub(w.started) >= w.latencyBudget
	if !c.FetchesProof || late || w.query.MaxAge < 2*database.ProofFetchTimeout || w.database.WithoutPrimary() >= failoverLimit {
		return false
	}
	return !w.database.ClaimProofFetch()
}

// refuseWithoutPrimary refuses a statement that no endpoint can serve now if statements have missed a primary for longer than
// a failover takes. The endpoints that may still answer have been tried by then. It does not refuse a statement whose last
// failure was overload.
func (w *workItem) refuseWithoutPrimary() *verdict.Error {
	if w.lastFailure != nil && w.lastFailure.Reason == verdict.Overload {
		return nil
	}
	missing := w.database.WithoutPrimary()
	if missing < failoverLimit {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Unreachable, "no primary of %s for the last %s", w.route.Database, missing).WithRetryAfter(jitter(outageRetryAfter))
}
