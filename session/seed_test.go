package session

import "flag"

// The seed of generated test cases is fixed so that runs are repeatable; -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }
