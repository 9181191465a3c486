package settings

import (
	"time"

	"siskincove/document"
)

// Failover configures when a primary is considered lost. It is used only with the PostgreSQL protocol.
type Failover struct {
	// Interval is the time between status requests to an endpoint.
	Interval document.Duration `toml:"interval"`
	// Silence is how long a primary may be unresponsive, or without a majority, before a ballot starts.
	Silence document.Duration `toml:"silence"`
	// Stagger is the additional time that each further coordinator waits.
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
