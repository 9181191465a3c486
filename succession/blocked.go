package succession

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"

	"siskincove/endpoint"
	"siskincove/event"
)

// blockedBy returns why a succession must not start now, empty if it may. An acknowledged commit is in the logs of the primary
// that wrote it and of Survey.Acknowledge replicas. If no more endpoints than those replicas are left out, with the old primary,
// one of the counted logs has the commit. Incarnations of one endpoint follow each other, so that only one of
// them has acknowledged a commit.
func (d Detector) blockedBy(s Survey, a Assessment, t Timing, rank int, now time.Time) string {
	reached := false
	var missing, departed []string
	leftOut := make(map[string]bool)
	if a.OldPrimary != "" {
		leftOut[a.OldPrimary] = true
	}
	for _, result := range s.Results {
		switch {
		case result.Endpoint == a.OldPrimary || slices.Contains(a.Settled, result.Endpoint):
		case result.Departed && result.Status == nil && s.Acknowledge == 0:
			// Commits are acknowledged without a replica, so no replica is required to hold any.
		case result.Status != nil && result.Status.Role == endpoint.Replica:
			reached = reached || a.Floor.reachedBy(result.Status.Log)
		case result.Departed:
			departed = append(departed, result.Endpoint)
			leftOut[cmp.Or(result.Successor, result.Endpoint)] = true
		default:
			missing = append(missing, result.Endpoint)
			leftOut[result.Endpoint] = true
		}
	}
	required := max(s.Acknowledge, 1)
	switch {
	case len(missing) >= required || len(leftOut) > required:
		return "no answer from replicas that may hold acknowledged commits: " + strings.Join(append(missing, departed...), ", ")
	case !reached && !s.AcceptLoss:
		return "no replica has reached the start of the primary's term"
	case d.otherInProgress(t, rank, now):
		return "another succession is in progress"
	default:
		return ""
	}
}

// setBlocked records what keeps a due succession from starting, empty for nothing, and logs it when it has changed.
func (c *Coordinator) setBlocked(why string, a Assessment, lead string) {
	if why != "" && why != c.blockedBy {
		c.options.Logger.Log(event.SuccessionBlocked, log.Fields{
			"database": c.name, "why": why, "evidence": string(a.Reason), "lead": lead, "since": c.options.Clock.Now().Sub(a.Since).String(),
		})
	}
	c.blockedBy = why
}
