package settings

import (
	"time"

	"siskincove/document"
)

// Failover says when a primary counts as lost.
type Failover struct {
	// Interval is the time between two status questions.
	Interval document.Duration `toml:"interval"`
	// Silence is how long a primary may be silent, or without a majority, before a ballot starts.
	Silence document.Duration `toml:"silence"`
	// Stagger is how much longer each next coordinator waits.
	Stagger document.Duration `toml:"stagger"`
}

func defaultFailover() Failover {
	return Failover{
		Interval: document.Duration(200 * time.Millisecond),
		Silence:  document.Duration(600 * time.Millisecond),
		Stagger:  document.Duration(700 * time.Millisecond),
	}
}

func (s Failover) check(c *checker) {
	c.positive("failover.interval", s.Interval)
	c.positive("failover.silence", s.Silence)
	c.positive("failover.stagger", s.Stagger)
	if s.Silence < 2*s.Interval {
		c.report("failover.silence", "must be at least twice failover.interval")
	}
}
