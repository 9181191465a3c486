package allotment

import (
	"slices"
	"time"
)

// lot is a number of granted operations that may be started until a time.
type lot struct {
	count   int
	expires time.Time
}

// Balance is what an instance may start of a workspace's operations. It is an immutable value.
type Balance struct {
	// lots are ordered by the time at which they expire.
	lots []lot
}

// WithGrant returns the balance with n more operations that may be started before expires.
func (b Balance) WithGrant(n int, expires time.Time) Balance {
	if n <= 0 {
		return b
	}
	at, _ := slices.BinarySearchFunc(b.lots, expires, func(l lot, t time.Time) int { return l.expires.Compare(t) })
	return Balance{lots: slices.Insert(slices.Clone(b.lots), at, lot{count: n, expires: expires})}
}

// WithoutExpired returns the balance without what can't be started any more.
func (b Balance) WithoutExpired(now time.Time) Balance {
	for len(b.lots) > 0 && !now.Before(b.lots[0].expires) {
		b.lots = b.lots[1:]
	}
	return b
}

// Take returns the balance after one operation, when it expires, and whether there was one.
func (b Balance) Take(now time.Time) (Balance, time.Time, bool) {
	b = b.WithoutExpired(now)
	if len(b.lots) == 0 {
		return b, time.Time{}, false
	}
	first := b.lots[0]
	if first.count == 1 {
		return Balance{lots: b.lots[1:]}, first.expires, true
	}
	rest := slices.Clone(b.lots)
	rest[0].count--
	return Balance{lots: rest}, first.expires, true
}

// Count returns the number of operations that may be started.
func (b Balance) Count(now time.Time) int {
	n := 0
	for _, l := range b.WithoutExpired(now).lots {
		n += l.count
	}
	return n
}
