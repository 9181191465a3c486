package allotment

import (
	"time"

	"siskincove/config"
)

// Bounds say by how much the operations of a workspace may exceed its allotment.
type Bounds struct {
	// Window is the length of the sliding windows in which operations are counted.
	Window time.Duration
	// Overage is the fraction, and Tolerance the number of operations, by which they may exceed it.
	Overage   float64
	Tolerance float64
}

// Allowed returns how many operations of a workspace may start in a window.
func (b Bounds) Allowed(w config.Workspace) float64 {
	return b.nominal(w)*(1+b.Overage) + b.Tolerance
}

// nominal returns how many operations the workspace's allotment gives in a window.
func (b Bounds) nominal(w config.Workspace) float64 { return w.Rate*b.Window.Seconds() + w.Burst }
