package settings

import "siskincove/document"

// Allotment says how strictly the operations of workspaces are limited. They are limited only if the window is set.
type Allotment struct {
	// Window is the length of the sliding windows in which operations are counted.
	Window document.Duration `toml:"window"`
	// Overage is the fraction by which operations may exceed a workspace's allotment in a window, and Tolerance the number of
	// operations by which they may exceed it besides.
	Overage   float64 `toml:"overage"`
	Tolerance float64 `toml:"tolerance"`
}

// Enabled reports whether operations are limited.
func (s Allotment) Enabled() bool { return s.Window > 0 }

func (s Allotment) check(c *checker) {
	if s.Window < 0 {
		c.report("allotment.window", "must not be below zero")
	}
	if s.Overage < 0 {
		c.report("allotment.overage", "must not be below zero")
	}
	if s.Tolerance < 0 {
		c.report("allotment.tolerance", "must not be below zero")
	}
}
