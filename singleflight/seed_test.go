package singleflight

import "flag"

// Use the same generated schedules in every run unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }
