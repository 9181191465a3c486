package allotment

import (
	"math"
	"time"
)

const (
	// shortageDecay is the time in which an account forgets most of what it has refused.
	shortageDecay = time.Second
	// maxPause is the longest time for which an account that has nothing to grant asks not to be asked.
	maxPause = 500 * time.Millisecond
	// aheadReserve is the share of an account's capacity that is kept for callers that wait.
	aheadReserve = 0.5
)

// Grant is the answer of an account.
type Grant struct {
	Granted int
	// Lifetime is for how long the operations may be started after the request was sent.
	Lifetime time.Duration
	// After is when to ask again if fewer were granted than wanted.
	After time.Duration
	// Absent is set if the instance that was asked keeps no account of the workspace.
	Absent bool
}

// Account grants a part of a workspace's allotment. It is an immutable value.
type Account struct {
	bucket bucket
	// shortage counts the operations refused lately.
	shortage float64
}

// NewAccount returns an account that starts at a time.
func NewAccount(s Share, now time.Time) Account { return Account{bucket: newBucket(s, now)} }

// WithShare returns the account with another share, which applies from now on.
func (a Account) WithShare(s Share, now time.Time) Account {
	a.bucket = a.bucket.withShare(s, now)
	return a
}

// WithDraw returns the account after a request for operations that callers wait for and for more that are expected ahead, and the
// answer. Operations are granted ahead only while the account is more than half full, since some of them expire unused.
func (a Account) WithDraw(wanted, ahead int, now time.Time) (Account, Grant) {
	if elapsed := now.Sub(a.bucket.at); elapsed > 0 {
		a.shortage *= math.Exp(-elapsed.Seconds() / shortageDecay.Seconds())
	}
	var granted int
	a.bucket, granted = a.bucket.taken(wanted, now)
	var early int
	spare := int(a.bucket.available(now) - a.bucket.share.Capacity*aheadReserve)
	a.bucket, early = a.bucket.taken(min(ahead, spare), now)
	g := Grant{Granted: granted + early, Lifetime: a.bucket.share.Lifetime}
	if granted < wanted {
		a.shortage += float64(wanted - granted)
		g.After = a.pause(now)
	}
	return a, g
}

// pause returns how long an instance that was refused should not ask again: longer the more others want, so that the requests of
// a workspace that has used its allotment do not grow with its demand. It is short enough that what the account gains
// meanwhile is not lost.
func (a Account) pause(now time.Time) time.Duration {
	s := a.bucket.share
	if s.Rate <= 0 {
		return maxPause
	}
	longest := min(maxPause.Seconds(), max(1, s.Capacity/2)/s.Rate)
	return time.Duration(min(longest, (1-a.bucket.available(now)+a.shortage)/s.Rate) * float64(time.Second))
}
