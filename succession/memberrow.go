package succession

import (
	"time"

	"siskincove/store"
)

// standbyWriteDelay is how long a coordinator after the first waits, times its rank, for the coordinators before it to list a
// registered endpoint.
const standbyWriteDelay = 3 * time.Second

// memberRow is what a coordinator knows of its database's row in memberTable; it is an immutable value.
type memberRow struct {
	list memberList
	// lead is the last known primary.
	lead    lastPrimary
	version store.Version
	// known is set if list, lead and version are those of the row, unless another coordinator has written it since. readAt is when it
	// was last read or written, in an era of the store.
	known  bool
	readAt time.Time
	era    uint64
}

// memberDemand is what the row of a database is to list.
type memberDemand struct {
	// registered are the registered endpoints, and all these and the departed ones that still count. since is when either last
	// changed.
	registered, all memberList
	since           time.Time
	// lead is the last known primary, without an endpoint if none is known.
	lead lastPrimary
	// rank is the index of this coordinator, and era the present era of the store.
	rank int
	era  uint64
	// createDelay is how long the first coordinator waits before it creates the row.
	createDelay time.Duration
}

// memberTask is what is to be done with the row.
type memberTask uint8

const (
	noTask memberTask = iota
	readTask
	writeTask
)

// next returns the task that a demand requires now, and for writeTask the list to store. Only the first coordinator removes
// endpoints; the others add those that it has left out for long, after they have read the row again.
func (r memberRow) next(d memberDemand, now time.Time) (memberTask, memberList) {
	delay := time.Duration(d.rank) * standbyWriteDelay
	switch {
	case !r.known || d.era > r.era:
		return readTask, memberList{}
	case d.rank == 0 && r.list.equal(d.all) && !d.lead.replaces(r.lead):
		return noTask, memberList{}
	case d.rank == 0 && r.version == 0 && now.Sub(d.since) < d.createDelay:
		return noTask, memberList{}
	case d.rank == 0:
		return writeTask, d.all
	case r.list.contains(d.registered) || now.Sub(d.since) < delay:
		return noTask, memberList{}
	case r.readAt.Sub(d.since) < delay:
		return readTask, memberList{}
	default:
		return writeTask, r.list.with(d.registered.endpoints)
	}
}
