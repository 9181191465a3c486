package succession

import (
	"context"
	"slices"
	"strings"

	"github.com/apex/log"

	"siskincove/config"
	"siskincove/database"
	"siskincove/event"
)

// keepMembers records the departure of endpoints that the store lists and that are not registered, lets the store list the
// registered and the departed endpoints, and returns the departed ones. Where commits are acknowledged without a replica, none of
// them is required, and the store lists nothing.
func (c *Coordinator) keepMembers(db *database.Database, acknowledge, rank int) []database.Departure {
	if acknowledge == 0 {
		return db.Departures()
	}
	if listed, lead, ok := c.keeper.takeRead(); ok {
		c.membersRead = true
		c.detector = c.detector.withListedPrimary(lead)
		if departed := db.RecordUnregistered(listed); len(departed) > 0 {
			c.options.Logger.Log(event.MembersDeparted, log.Fields{"database": c.name, "endpoints": joinNames(departed)})
		}
	}
	members, departures := db.MayHoldCommits()
	c.keeper.setDemand(newMemberList(members, nil), newMemberList(members, departures), c.detector.lastPrimary, rank, c.options.Era())
	return departures
}

// relistMembers has the list of members read again, since another coordinator may have listed a departed endpoint while this one was
// suspended or cut off. It returns a function that waits for the end of the read. If the store does not answer in time, what is known counts.
func (c *Coordinator) relistMembers(ctx context.Context) (wait func()) {
	if _, acknowledge := c.group(); acknowledge == 0 {
		return func() {}
	}
	read, due := c.keeper.requestRead(), c.options.Clock.After(refreshTimeout)
	return func() {
		select {
		case <-read:
		case <-due:
		case <-ctx.Done():
		}
	}
}

func joinNames(endpoints []config.Endpoint) string {
	var names []string
	for _, e := range endpoints {
		names = append(names, e.Name)
	}
	slices.Sort(names)
	return strings.Join(names, ",")
}

// mayCountMembers reports whether it is known which endpoints departed before this coordinator started, as a succession has to
// count them.
func (c *Coordinator) mayCountMembers(a Assessment) bool {
	if _, acknowledge := c.group(); acknowledge == 0 || c.membersRead {
		return true
	}
	c.setBlocked("the list of members has not been read from the store", a, a.OldPrimary)
	return false
}
