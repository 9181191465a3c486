package instance

import "flag"

// The generated schedules are the same in every run, unless another seed is given with -rapid.seed.
func init() { _ = flag.Set("rapid.seed", "1") }
