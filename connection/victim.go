package connection

import "time"

// spareAgeFactor weighs the idle time of a connection whose workspace has others: closing it delays a statement only if all of
// those are in use.
const spareAgeFactor = 4

// idleConnection is an idle connection that may be closed for one of another workspace.
type idleConnection struct {
	idle time.Duration
	// spare is set if its workspace has other connections.
	spare bool
}

// victim returns the index of the idle connection to close first, -1 if there is none: the least recently used one, where the
// idle time of a spare connection counts several times.
func victim(idle []idleConnection) int {
	best, longest := -1, time.Duration(-1)
	for i, c := range idle {
		age := c.idle
		if c.spare {
			age *= spareAgeFactor
		}
		if age > longest {
			best, longest = i, age
		}
	}
	return best
}
