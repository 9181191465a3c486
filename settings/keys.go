package settings

import "siskincove/document"

// Keys configures how callers' keys are checked.
type Keys struct {
	// Withdrawal is how long after the acknowledgement of a configuration requests of the keys that it withdraws may still run;
	// 0 means that there is no such limit.
	Withdrawal document.Duration `toml:"withdrawal"`
}

func (s Keys) check(c *checker) {
	if s.Withdrawal < 0 {
		c.report("keys.withdrawal", "must not be negative")
	}
}
