package succession

import (
	"time"

	"siskincove/directory"
)

const (
	// refreshTimeout bounds the read of the endpoints before a succession, and deferredRefreshTimeout the reads while it is
	// deferred, which may take as long as a slow store needs.
	refreshTimeout         = 150 * time.Millisecond
	deferredRefreshTimeout = 600 * time.Millisecond
	// deferredRefreshInterval is the pause between two such reads.
	deferredRefreshInterval = 300 * time.Millisecond
)

// deferral is the time for which a due succession is left to other coordinators, since this one can't read the endpoints and may
// not know of a replica that has just been registered; it is an immutable value. Meanwhile the others can act, and pollers that
// the store answers pass on what was registered. If the store answers nobody, no replica is registered either.
type deferral struct {
	// since is when the first read failed, zero if none has, and triedAt when the latest did.
	since   time.Time
	triedAt time.Time
}

// readTimeout returns how long the next read may take, and false if it is not due yet. The last one ends with the deferral.
func (d deferral) readTimeout(t Timing, now time.Time) (time.Duration, bool) {
	if d.since.IsZero() {
		return refreshTimeout, true
	}
	remaining := t.unreadDelay() - now.Sub(d.since)
	return max(min(deferredRefreshTimeout, remaining), refreshTimeout), now.Sub(d.triedAt) >= deferredRefreshInterval || remaining <= 0
}

// with returns the deferral after a read, and whether the succession may start.
func (d deferral) with(reading directory.Reading, t Timing, now time.Time) (deferral, bool) {
	if reading.Err == nil {
		return deferral{}, true
	}
	if d.since.IsZero() {
		d.since = now
	}
	d.triedAt = now
	return d, reading.ReadAt.After(d.since) || now.Sub(d.since) >= t.unreadDelay()
}

// unreadDelay is how long a coordinator that can't read the endpoints defers a succession, so that the next one can start it
// first. That one accepts proofs of the lead for Unresponsive longer, has longer rounds, waits Stagger longer, and then probes twice
// as this one did.
func (t Timing) unreadDelay() time.Duration {
	return t.Unresponsive + standbyFactor*roundInterval + t.Stagger + 2*probeTimeout
}
