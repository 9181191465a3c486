package allotment

import "time"

// recentSlots is the number of slots that a recent divides its window into. Each delays by its length when what was granted in it
// may be granted again.
const recentSlots = 32

// recent counts the operations that an account has granted within a window, by slots of time. It is an immutable value.
type recent struct {
	slot time.Duration
	// newest is the number of the newest slot since the zero time of the account's clock. Slot n is counted in counts[n%len(counts)].
	newest int64
	counts [recentSlots + 1]int
}

func newRecent(window time.Duration) recent { return recent{slot: max(window/recentSlots, 1)} }

// slotOf returns the number of the slot that a time is in.
func (r recent) slotOf(now time.Time) int64 { return now.UnixNano() / int64(r.slot) }

// advanced returns the counts at a later time, without those that have left the window.
func (r recent) advanced(now time.Time) recent {
	slots := int64(len(r.counts))
	n := r.slotOf(now)
	for next := max(r.newest+1, n-slots+1); next <= n; next++ {
		r.counts[next%slots] = 0
	}
	r.newest = max(r.newest, n)
	return r
}

// with returns the counts after operations were granted.
func (r recent) with(granted int, now time.Time) recent {
	r = r.advanced(now)
	r.counts[r.newest%int64(len(r.counts))] += granted
	return r
}

// spare returns how many operations may be granted so that no span up to now, as long as the window at most, has more than
// capacity and rate times its length.
func (r recent) spare(capacity, rate float64, now time.Time) float64 {
	r = r.advanced(now)
	slots := int64(len(r.counts))
	granted, spare := 0, capacity
	for n := r.newest; n > r.newest-slots && n >= 0; n-- {
		granted += r.counts[n%slots]
		// A span that begins in this slot is at least as long as the time since the slot's end.
		length := max(now.Sub(time.Unix(0, (n+1)*int64(r.slot))), 0)
		spare = min(spare, capacity+rate*length.Seconds()-float64(granted))
	}
	return spare
}
