package load

import (
	"io"
	"time"
)

// Options say what to load and how.
type Options struct {
	// Addresses are instances' addresses for callers, IP:port.
	Addresses []string
	// Health are the same instances' health addresses, for the replica share; none leaves the share unknown.
	Health   []string
	Caller   string
	Password string
	Service  string
	// Main are the routes for writes and reads of own writes, and History those for reads that accept age, pairwise.
	Main    []string
	History []string
	Mix     Mix
	// Rate is the number of operations that arrive each second, whether or not earlier ones have ended.
	Rate     float64
	Duration time.Duration
	Sessions int
	// Roam is the share of sessions that move to another instance each minute.
	Roam float64
	// Token tells that a session brings its token along when it moves.
	Token bool
	// Timeout bounds each operation.
	Timeout time.Duration
	// Probe is the time between two writes of the prober of each main route; 0 runs none.
	Probe time.Duration
	Seed  uint64
	// Progress receives a line each second; nil prints none.
	Progress io.Writer
}
