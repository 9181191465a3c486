package freshness

import "time"

// Proof states that at a time, by this instance's clock, no configuration newer than a version had been acknowledged.
type Proof struct {
	// Version is the version that the operator gave the configuration.
	Version uint64
	At      time.Time
}

// Age returns the time since the proof.
func (p Proof) Age(now time.Time) time.Duration { return now.Sub(p.At) }

// known reports whether there is a proof at all.
func (p Proof) known() bool { return !p.At.IsZero() }
