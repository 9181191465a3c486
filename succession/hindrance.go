package succession

import (
	"slices"
	"strings"
	"time"

	"siskincove/endpoint"
)

// hindrance returns why a succession would not succeed now, empty if it may.
func (w Detector) hindrance(s Survey, j Assessment, t Timing, rank int, now time.Time) string {
	reached := false
	var missing []string
	for _, sight := range s.Results {
		switch {
		case sight.Endpoint == j.OldPrimary || slices.Contains(j.Settled, sight.Endpoint):
		case sight.Departed && sight.Standing == nil && s.Acknowledge == 0:
			// No replica's log was promised to hold anything.
		case sight.Standing != nil && sight.Standing.Role == endpoint.Replica:
			reached = reached || j.Floor.reached(sight.Standing.Log)
		default:
			missing = append(missing, sight.Endpoint)
		}
	}
	switch {
	case len(missing) >= max(s.Acknowledge, 1):
		return "no answer from replicas that may hold acknowledged commits: " + strings.Join(missing, ", ")
	case !reached:
		return "no replica has come as far as the primary's term began"
	case w.underWay(t, rank, now):
		return "another succession is under way"
	default:
		return ""
	}
}
