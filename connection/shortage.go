package connection

import "time"

// shortage describes a statement that finds no idle connection of its workspace.
type shortage struct {
	// serviceTime is the mean time for which a statement uses a connection, and openTime the mean time to open one, 0 if
	// unknown.
	serviceTime, openTime time.Duration
	// running is the number of the workspace's connections that run a statement, and ahead that of its statements that wait
	// for one already.
	running, ahead int
	// evicts is set if a connection of another workspace has to be closed for a new one.
	evicts bool
	// contended is set if statements wait for the slot that this one holds meanwhile.
	contended bool
}

// patience returns how long to wait for a connection of the workspace before another one is opened. Opening costs the statement
// the time that it takes, the endpoint a slot for about as long, and a workspace whose connection is closed the same later.
func (s shortage) patience() time.Duration {
	if s.running == 0 || s.contended {
		return 0
	}
	cost := 2 * s.openTime
	if s.evicts {
		cost += s.openTime
	}
	wait := time.Duration(s.ahead+1) * s.serviceTime / time.Duration(s.running)
	if wait > cost {
		return 0
	}
	return cost
}
