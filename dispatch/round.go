package dispatch

import (
	"time"

	"siskincove/database"
	"siskincove/group"
	"siskincove/verdict"
)

const (
	// failoverLimit is the time without a primary after which statements do not wait for one: the longest failover of those
	// measured took 4.2 s.
	failoverLimit = 4500 * time.Millisecond
	// comeBackLong is when callers return, on average, that were refused then; they return over as long a time.
	comeBackLong = time.Second
)

// round is what a round of tries has come to: full tells that a queue refused the statement since its turn would come too
// late, and hopeful that an endpoint refused it for a reason which passes soon.
type round struct {
	full, hopeful bool
}

// with returns the round after a refusal. A queue, here or at an instance that lends its connections, says when to return;
// an endpoint does not.
func (r round) with(failure *verdict.Error) round {
	switch failure.Reason {
	case verdict.Overload:
		r.full = r.full || failure.After > 0
		r.hopeful = r.hopeful || failure.After <= 0
	case verdict.Stale, verdict.NotPrimary:
		r.hopeful = true
	}
	return r
}

// waitsForProof reports whether a read that only lacks a certificate has to wait while another read fetches one, as all do
// after a failover or a restart. It waits while it can still be prompt, and only if a certificate will be young enough and
// is to be expected.
func (w *work) waitsForProof(c group.Choice) bool {
	late := w.session.dispatcher.now().Sub(w.started) >= w.promptness
	if !c.SeeksProof || late || w.query.MaxAge < 2*database.SeekTimeout || w.database.SinceLeadProof() >= failoverLimit {
		return false
	}
	return !w.database.Seek()
}

// hopeless refuses a statement that no endpoint can serve now once no primary has been seen for longer than a failover
// takes. Each statement has asked those endpoints first that may answer.
func (w *work) hopeless() *verdict.Error {
	if w.last != nil && w.last.Reason == verdict.Overload {
		return nil
	}
	away := w.database.SinceLeadProof()
	if away < failoverLimit {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.Unreachable, "no primary of %s for %s", w.route.Database, away).WithAfter(spread(comeBackLong))
}
