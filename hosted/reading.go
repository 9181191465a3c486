package hosted

import (
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/event"
)

const (
	// pollersPerDomain is how many instances of a failure domain read the endpoints from the store; the others learn of
	// changes from them.
	pollersPerDomain = 1
	// followersPerDomain is how many instances of a failure domain follow the changes of the configuration. One may be cut
	// off from the store.
	followersPerDomain = 2
	// pollerTask and followerTask are the prefixes under which instances are ranked for reading the endpoints and the list of
	// instances, and for following the configuration.
	pollerTask   = "poller/"
	followerTask = "follower/"
)

// What is read, as it appears in heartbeats.
const (
	endpointsBit     = 1
	configurationBit = 2
	// refreshBit asks for one read of the endpoints, now.
	refreshBit = 4
)

// Reasons why an instance reads the store, as they appear in logs.
const (
	readsByRank    = "rank"
	readsByRequest = "request"
)

// reading decides whether this instance reads something from the store on behalf of its failure domain.
type reading struct {
	instance *Instance
	// kind is the kind of reads, and bit stands for it in heartbeats.
	kind string
	bit  uint32
	// task is the prefix under which instances are ranked, and count how many of them read.
	task  string
	count int

	mu sync.Mutex
	// why is the reason for reading since a time, empty if this instance does not read.
	why   string
	since time.Time
	// requestedUntil is until when this instance reads in the place of another one, and declinesUntil until when it does not as the
	// store did not answer it either.
	requestedUntil, declinesUntil time.Time
}

// active reports whether this instance reads. It logs changes.
func (r *reading) active() bool {
	<-r.instance.initialized
	why := r.reason()
	now := r.instance.options.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if why == r.why {
		return why != ""
	}
	if why != "" {
		r.instance.options.Logger.Log(event.ReadingBegun, log.Fields{"name": r.kind, "why": why})
	} else {
		r.instance.options.Logger.Log(event.ReadingEnded, log.Fields{"name": r.kind, "took": now.Sub(r.since).String()})
	}
	r.why, r.since = why, now
	return why != ""
}

// reason returns why this instance reads, empty if it does not.
func (r *reading) reason() string {
	if r.ranksFirst() {
		return readsByRank
	}
	if r.substitutes() {
		return readsByRequest
	}
	return ""
}

// ranksFirst reports whether this instance is one of those that rank highest. The ranking depends only on the task, the domain and
// the known instances, so that instances with the same view of the others agree without messages.
func (r *reading) ranksFirst() bool {
	own := r.instance.options.Settings.Instance
	for _, ranked := range r.instance.members.HighestRanked(r.task+own.Domain, own.Domain, r.count) {
		if ranked.ID == own.ID {
			return true
		}
	}
	return false
}
