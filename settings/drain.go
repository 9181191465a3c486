package settings

import (
	"time"

	"siskincove/document"
)

// defaultDrainEndpoint is the time that the users' deployments give a leaving endpoint.
const defaultDrainEndpoint = 7 * time.Second

// Drain sets time limits for the shutdown of the instance and of endpoints.
type Drain struct {
	// Limit is how long requests in flight may take to finish when the instance shuts down.
	Limit document.Duration `toml:"limit"`
	// Endpoint is how long an endpoint may still get new work after it has announced that it is leaving. It applies to
	// endpoints that register themselves.
	Endpoint document.Duration `toml:"endpoint"`
}

func defaultDrain() Drain {
	return Drain{Limit: document.Duration(time.Minute), Endpoint: document.Duration(defaultDrainEndpoint)}
}

func (s Drain) check(c *checker) {
	c.positive("drain.limit", s.Limit)
	c.positive("drain.endpoint", s.Endpoint)
}
