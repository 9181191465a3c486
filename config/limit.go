package config

import "siskincove/document"

// Limit bounds an endpoint (slots, connections, reserve, rate) or a route (weight, queue, deadline, target, priority).
type Limit struct {
	Name string `toml:"name" json:"name"`
	// Slots is how many transactions an endpoint runs at once.
	Slots int `toml:"slots" json:"slots,omitempty"`
	// Connections is how many connections an endpoint accepts, including those for status and failover.
	Connections int `toml:"connections" json:"connections,omitempty"`
	// Reserve is how many of the connections are reserved for status and failover.
	Reserve int `toml:"reserve" json:"reserve,omitempty"`
	// Rate is how many new connections may be opened per second.
	Rate int `toml:"rate" json:"rate,omitempty"`
	// Weight is a route's share of an endpoint's slots relative to other routes.
	Weight int `toml:"weight" json:"weight,omitempty"`
	// Queue is how many requests of a route may wait for a slot.
	Queue int `toml:"queue" json:"queue,omitempty"`
	// Deadline is how long a request of a route may take, including the wait for a slot.
	Deadline document.Duration `toml:"deadline" json:"deadline,omitempty"`
	// TargetLatency is the time within which callers of a route want a whole operation answered.
	TargetLatency document.Duration `toml:"target" json:"target,omitempty"`
	// Priority ranks routes when not all requests can be served; 0 is the highest.
	Priority int `toml:"priority" json:"priority,omitempty"`
}
