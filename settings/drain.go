package settings

import (
	"time"

	"siskincove/document"
)

// Drain bounds a graceful shutdown.
type Drain struct {
	// Limit is how long requests in flight may take to finish.
	Limit document.Duration `toml:"limit"`
}

func defaultDrain() Drain { return Drain{Limit: document.Duration(time.Minute)} }

func (s Drain) check(c *checker) { c.positive("drain.limit", s.Limit) }
