package session

import (
	"slices"
	"time"

	"siskincove/endpoint"
)

// Certificate says that Position was at or past every write acknowledged before At, by this instance's own clock.
type FreshnessCertificate struct {
	Position endpoint.Position
	At       time.Time
}

// historyMaximum bounds the certificates kept; the oldest kept one bounds the age that can be told.
const historyMaximum = 256

// History is the certificates known, in order of time; it is an immutable value.
type History struct {
	certificates []FreshnessCertificate
}

// With returns the history with a newer certificate; one that is older than the newest known is ignored.
func (h History) With(c FreshnessCertificate) History {
	n := len(h.certificates)
	if n > 0 && !c.At.After(h.certificates[n-1].At) {
		return h
	}
	kept := h.certificates
	if n >= historyMaximum {
		kept = thin(kept)
	}
	return History{certificates: append(kept[:len(kept):len(kept)], c)}
}

// thin drops every second certificate of the older half, so that long ages stay tellable.
func thin(all []FreshnessCertificate) []FreshnessCertificate {
	half := len(all) / 2
	out := make([]FreshnessCertificate, 0, len(all))
	for i := 0; i < half; i += 2 {
		out = append(out, all[i])
	}
	return append(out, all[half:]...)
}

// Age returns how old the data of an endpoint that has applied a position may be at most, and false when no
// certificate is covered.
func (h History) Age(applied endpoint.Position, now time.Time) (time.Duration, bool) {
	for i := len(h.certificates) - 1; i >= 0; i-- {
		c := h.certificates[i]
		if applied.Covers(c.Position) {
			return now.Sub(c.At), true
		}
	}
	return 0, false
}

// Oldest returns the oldest certificate that is not older than since, and false when there is none: the one that a
// replica is most likely to cover.
func (h History) Oldest(since time.Time) (FreshnessCertificate, bool) {
	n, _ := slices.BinarySearchFunc(h.certificates, since, func(c FreshnessCertificate, t time.Time) int { return c.At.Compare(t) })
	if n == len(h.certificates) {
		return FreshnessCertificate{}, false
	}
	return h.certificates[n], true
}

// Newest returns the newest certificate, and false when there is none.
func (h History) Newest() (FreshnessCertificate, bool) {
	if len(h.certificates) == 0 {
		return FreshnessCertificate{}, false
	}
	return h.certificates[len(h.certificates)-1], true
}
