package experiment

import (
	"os"
	"slices"

	"github.com/cockroachdb/errors"
)

// medianOf returns the median of the numbers, 0 when there are none.
func medianOf(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Clone(all)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

func makeTempDir() (string, error) {
	directory, err := os.MkdirTemp("", "siskincove-experiment")
	return directory, errors.Wrap(err, "create temporary directory")
}
