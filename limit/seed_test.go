package limit

import "flag"

// Generated schedules are the same in every run, unless another seed is asked for with -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }
