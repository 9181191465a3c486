package allotment

import (
	"math"
	"time"
)

// bucket is a token bucket: it gains share.Rate tokens per second up to share.Capacity. Tokens taken longer than share.Window ago
// no longer count, so that one that is always empty gives more than its rate: as much as one that is full at the start of each window.
// It is an immutable value.
type bucket struct {
	share Share
	// tokens is negative while more has been taken than a bucket that forgets nothing would have given.
	tokens float64
	at     time.Time
	// recent counts the tokens taken since the time since.
	recent recent
	since  time.Time
}

func newBucket(s Share, now time.Time) bucket {
	return bucket{share: s, tokens: s.Initial, at: now, recent: newRecent(s.Window), since: now}
}

// advanced returns the bucket at a later time; earlier times change nothing.
func (b bucket) advanced(now time.Time) bucket {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.share.Capacity, b.tokens+b.share.Rate*elapsed.Seconds())
		b.at = now
	}
	return b
}

// withShare returns the bucket with another share, which applies from now on.
func (b bucket) withShare(s Share, now time.Time) bucket {
	b = b.advanced(now)
	if s.Window != b.share.Window {
		b.recent, b.since = newRecent(s.Window), now
	}
	b.share = s
	b.tokens = min(b.tokens, s.Capacity)
	return b
}

// available returns the tokens that may be taken.
func (b bucket) available(now time.Time) float64 {
	if b.share.Window == 0 || now.Sub(b.since) < b.share.Window {
		// A bucket before this one may have given tokens within the window.
		return b.tokens
	}
	return max(b.tokens, b.recent.spare(b.share.Capacity, b.share.Rate, now))
}

// taken returns the bucket without up to n whole tokens, and how many these are.
func (b bucket) taken(n int, now time.Time) (bucket, int) {
	b = b.advanced(now)
	taken := max(0, min(n, int(math.Floor(b.available(now)))))
	b.tokens -= float64(taken)
	b.recent = b.recent.with(taken, now)
	return b, taken
}
