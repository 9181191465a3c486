package config

import "siskincove/document"

// Allowance is the age of data that readers accept.
type Allowance struct {
	Name string            `toml:"name" json:"name"`
	Age  document.Duration `toml:"age" json:"age"`
}
