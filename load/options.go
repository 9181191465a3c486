package load

import (
	"io"
	"time"
)

// Options configure a load.
type Options struct {
	// Addresses are the caller addresses of instances, IP:port.
	Addresses []string
	// Health are the health addresses of the same instances; without them the replica share is unknown.
	Health   []string
	Caller   string
	Password string
	Service  string
	// Main are the routes for writes and reads of own writes. History are the routes for reads that accept stale data, one for
	// each main route.
	Main    []string
	History []string
	Mix     Mix
	// Rate is the number of operations that arrive per second, whether or not earlier ones have finished.
	Rate     float64
	Duration time.Duration
	Sessions int
	// Roam is the mean number of times per minute that a session moves to another instance; 0.2 moves a fifth of the sessions
	// each minute.
	Roam float64
	// Token makes a session pass its session token to the next instance when it moves.
	Token bool
	// Timeout bounds each operation.
	Timeout time.Duration
	// Probe is the mean interval between probe writes on each main route; 0 disables probes.
	Probe time.Duration
	Seed  uint64
	// Progress receives a line per second unless it is nil.
	Progress io.Writer
}
