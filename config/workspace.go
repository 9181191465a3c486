package config

import "math"

// Workspace is a customer whose callers present keys and share an allotment of operations.
type Workspace struct {
	Name string `toml:"name" json:"name"`
	// Keys are the hashes of the keys by which callers show that they belong to the workspace.
	Keys []KeyHash `toml:"keys" json:"keys"`
	// Priority ranks workspaces when not all requests can be served; 0 is the highest.
	Priority int `toml:"priority" json:"priority,omitempty"`
	// Rate is the number of operations per second that the workspace may run on all instances together, and Burst the number
	// that it may run at once after a pause. An operation is a transaction or a statement outside one. Rate 0 stands for no
	// limit, which only a platform's configuration may leave it at.
	Rate  float64 `toml:"rate" json:"rate"`
	Burst float64 `toml:"burst" json:"burst"`
}

// MaxRate bounds the rate and the burst of a workspace.
const MaxRate = 1e9

// validAmount reports whether a rate or burst is a number between min and MaxRate.
func validAmount(amount, min float64) bool {
	return !math.IsNaN(amount) && amount >= min && amount <= MaxRate
}

// ValidLimits reports whether the rate, the burst and the priority lie within their bounds.
func (w Workspace) ValidLimits() bool {
	return validAmount(w.Rate, 0) && validAmount(w.Burst, 0) && w.Priority >= 0
}
