package allotment

import (
	"maps"
	"time"
)

// Pauses records until when accounts are not to be asked, by address. It is an immutable value.
type Pauses struct{ until map[string]time.Time }

// With returns the pauses with another one. Those that have ended are removed.
func (p Pauses) With(address string, until, now time.Time) Pauses {
	next := make(map[string]time.Time, len(p.until)+1)
	maps.Copy(next, p.until)
	maps.DeleteFunc(next, func(_ string, t time.Time) bool { return !now.Before(t) })
	next[address] = until
	return Pauses{until: next}
}

// Without returns the pauses without that of an address.
func (p Pauses) Without(address string) Pauses {
	if _, paused := p.until[address]; !paused {
		return p
	}
	next := maps.Clone(p.until)
	delete(next, address)
	return Pauses{until: next}
}

// Left returns how much longer an address is paused, 0 if it is not.
func (p Pauses) Left(address string, now time.Time) time.Duration {
	return max(0, p.until[address].Sub(now))
}
