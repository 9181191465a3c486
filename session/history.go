package session

import (
	"slices"
	"time"

	"siskincove/endpoint"
)

// FreshnessCertificate states that Position covered every write acknowledged before At, by this instance's own clock.
type FreshnessCertificate struct {
	Position endpoint.Position
	At       time.Time
}

// historyMaximum is the largest number of certificates kept. The oldest one kept limits the age that can be determined.
const historyMaximum = 256

// History is a sequence of freshness certificates, ordered by time. It is an immutable value.
type History struct {
	certificates []FreshnessCertificate
}

// With returns the history with a certificate added. One that is not newer than the newest is ignored.
func (h History) With(c FreshnessCertificate) History {
	n := len(h.certificates)
	if n > 0 && !c.At.After(h.certificates[n-1].At) {
		return h
	}
	kept := h.certificates
	if n >= historyMaximum {
		kept = thinOlderHalf(kept)
	}
	return History{certificates: append(kept[:len(kept):len(kept)], c)}
}

// thinOlderHalf drops every second certificate of the older half, so that high ages can still be determined.
func thinOlderHalf(all []FreshnessCertificate) []FreshnessCertificate {
	half := len(all) / 2
	out := make([]FreshnessCertificate, 0, len(all))
	for i := 0; i < half; i += 2 {
		out = append(out, all[i])
	}
	return append(out, all[half:]...)
}

// Age returns an upper bound for the age of the data of an endpoint that has applied a position, and false if the position
// covers no certificate.
func (h History) Age(applied endpoint.Position, now time.Time) (time.Duration, bool) {
	for i := len(h.certificates) - 1; i >= 0; i-- {
		c := h.certificates[i]
		if applied.Covers(c.Position) {
			return now.Sub(c.At), true
		}
	}
	return 0, false
}

// Oldest returns the oldest certificate that is not older than since, which is the one that a replica is most likely to
// cover, and false if there is none.
func (h History) Oldest(since time.Time) (FreshnessCertificate, bool) {
	n, _ := slices.BinarySearchFunc(h.certificates, since, func(c FreshnessCertificate, t time.Time) int { return c.At.Compare(t) })
	if n == len(h.certificates) {
		return FreshnessCertificate{}, false
	}
	return h.certificates[n], true
}

// Newest returns the newest certificate, and false if there is none.
func (h History) Newest() (FreshnessCertificate, bool) {
	if len(h.certificates) == 0 {
		return FreshnessCertificate{}, false
	}
	return h.certificates[len(h.certificates)-1], true
}
