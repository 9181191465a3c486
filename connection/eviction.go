package connection

import (
	"time"

	"github.com/apex/log"

	"siskincove/event"
)

// evictionLogInterval is the least time between two log lines on the evictions of one pool.
const evictionLogInterval = time.Second

// evictionLog bounds the log lines on evictions.
type evictionLog struct {
	// last is when the last line was written, and since the number of evictions after it.
	last  time.Time
	since int
}

// recordEviction counts the eviction of an idle connection for one of another workspace, and logs at most one in each
// interval. p.mu must be held.
func (p *Pool) recordEviction(h *PooledConn, workspace string) {
	p.countEvicted()
	p.evictions.since++
	now := p.options.Clock.Now()
	if p.options.Borrows || now.Sub(p.evictions.last) < evictionLogInterval {
		return
	}
	p.options.Logger.Log(event.ConnectionEvicted, log.Fields{
		"endpoint": p.options.Endpoint.Name, "workspace": h.workspace, "for": workspace, "idle": now.Sub(h.idleSince).String(),
		"open": p.usage.open, "limit": p.limit, "evictions": p.evictions.since,
	})
	p.evictions = evictionLog{last: now}
}
