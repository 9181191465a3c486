package config

import "siskincove/document"

// Allowance is a staleness bound: the greatest age of the data that a read accepts.
type Allowance struct {
	Name string            `toml:"name" json:"name"`
	Age  document.Duration `toml:"age" json:"age"`
}
