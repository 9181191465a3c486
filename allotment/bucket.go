package allotment

import (
	"math"
	"time"
)

// bucket is a token bucket: it gains share.Rate tokens per second up to share.Capacity. It is an immutable value.
type bucket struct {
	share  Share
	tokens float64
	at     time.Time
}

func newBucket(s Share, now time.Time) bucket { return bucket{share: s, tokens: s.Initial, at: now} }

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
	b.share = s
	b.tokens = min(b.tokens, s.Capacity)
	return b
}

// taken returns the bucket without up to n whole tokens, and how many these are.
func (b bucket) taken(n int, now time.Time) (bucket, int) {
	b = b.advanced(now)
	taken := max(0, min(n, int(math.Floor(b.tokens))))
	b.tokens -= float64(taken)
	return b, taken
}
