package member

import "flag"

// init fixes the seed of generated tests, so that every run is the same unless -rapid.seed sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
