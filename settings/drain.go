package settings

import (
	"time"

	"siskincove/document"
)

// defaultEndpointDrain is the time that the users' deployments give.
const defaultEndpointDrain = 7 * time.Second

// Drain bounds a graceful shutdown.
type Drain struct {
	// Limit is how long requests in flight may take to finish.
	Limit document.Duration `toml:"limit"`
	// Endpoint is how long after an endpoint's notice that it leaves it may still get new work, for endpoints that
	// register themselves.
	Endpoint document.Duration `toml:"endpoint"`
}

func defaultDrain() Drain {
	return Drain{Limit: document.Duration(time.Minute), Endpoint: document.Duration(defaultEndpointDrain)}
}

func (s Drain) check(c *checker) {
	c.positive("drain.limit", s.Limit)
	c.positive("drain.endpoint", s.Endpoint)
}
