package experiment

import (
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

// middle returns the median of numbers.
func middle(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func temporary() (string, error) {
	directory, err := os.MkdirTemp("", "siskincove-experiment")
	return directory, errors.Wrap(err, "directory")
}
