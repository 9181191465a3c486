package pool

import (
	"context"
	"sync"
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/session"
	"siskincove/verdict"
)

const (
	// positionWait is how long a replica's owner waits for a position before it responds.
	positionWait = 500 * time.Millisecond
	// positionRetryDelay is the delay after a failed request to a replica's owner.
	positionRetryDelay = 20 * time.Millisecond
	// establishTimeout bounds the confirmation of a new primary's first record.
	establishTimeout = 10 * time.Second
	// confirmableIntervals is for how many certificate intervals a replica's last report counts as current.
	confirmableIntervals = 4
)

// confirmer determines when a majority of the group holds a position under the primary's term.
type confirmer struct {
	pool *Pool

	mu sync.Mutex
	// established is the last term of which a majority was found to hold a record.
	established endpoint.LogTerm
	reports     map[string]memberReport
	// polling is set for the replicas that pollReplica is running for.
	polling map[string]bool
	waiters map[*waiter]struct{}
}

// memberReport is the last status received from an endpoint and when it was received.
type memberReport struct {
	status endpoint.Status
	at     time.Time
}

// covers reports whether the endpoint holds the position under the position's term.
func (r memberReport) covers(position endpoint.Position) bool {
	return endpoint.LogTerm(r.status.Fenced) == position.Term && r.status.Log.Term == position.Term && r.status.Log.Covers(position)
}

// follows reports whether the endpoint was receiving from the primary of the term.
func (r memberReport) follows(term endpoint.LogTerm) bool {
	return r.status.Receiving && endpoint.LogTerm(r.status.Fenced) == term
}

// waiter waits for the confirmation of a position. If the position can't be confirmed any more, failed is set before
// done is closed.
type waiter struct {
	position endpoint.Position
	done     chan struct{}
	failed   bool
}

func newConfirmer(p *Pool) *confirmer {
	return &confirmer{
		pool:    p,
		reports: make(map[string]memberReport),
		polling: make(map[string]bool),
		waiters: make(map[*waiter]struct{}),
	}
}

// wait returns nil once a majority holds the position. It fails when ctx ends or the primary is superseded.
func (c *confirmer) wait(ctx context.Context, position endpoint.Position) error {
	w := &waiter{position: position, done: make(chan struct{})}
	if c.add(w) {
		return nil
	}
	defer c.remove(w)
	select {
	case <-w.done:
		if !w.failed {
			return nil
		}
		return verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "primary was superseded before a majority confirmed the commit")
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "timed out waiting for a majority to confirm the commit")
	}
}

// add registers a waiter and starts polling the replicas. It returns true if a majority holds the position already.
func (c *confirmer) add(w *waiter) bool {
	others := c.otherMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedLocked(others, w.position.Term).Covers(w.position) {
		return true
	}
	c.waiters[w] = struct{}{}
	for _, e := range others {
		if !c.polling[e.Name] {
			c.polling[e.Name] = true
			c.pool.goroutines.Go(func() { c.pollReplica(e) })
		}
	}
	return false
}

func (c *confirmer) remove(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, w)
}

// otherMembers returns the group's endpoints except this pool's.
func (c *confirmer) otherMembers() []config.Endpoint {
	o := c.pool.currentOptions()
	out := make([]config.Endpoint, 0, len(o.Members))
	for _, e := range o.Members {
		if e.Name != o.Endpoint.Name {
			out = append(out, e)
		}
	}
	return out
}

// confirmedLocked returns the highest position of the term that a majority holds. This primary counts as holding every
// position. c.mu must be held.
func (c *confirmer) confirmedLocked(others []config.Endpoint, term endpoint.LogTerm) endpoint.Position {
	statuses := make([]endpoint.Status, 0, len(others))
	for _, e := range others {
		statuses = append(statuses, c.reports[e.Name].status)
	}
	return session.Confirmed(statuses, len(others)+1, term)
}

// pollReplica polls the owner of one replica as long as there are waiters for a position that the replica is not known
// to hold.
func (c *confirmer) pollReplica(e config.Endpoint) {
	for {
		position, wanted := c.lowestWanted(e.Name)
		if !wanted || c.pool.ctx.Err() != nil {
			return
		}
		report, err := c.pool.owners.RequestStatus(c.pool.ctx, e, StatusRequest{Fresh: true, AwaitPosition: position, Timeout: positionWait})
		if err != nil || report.UnresponsiveFor > 0 {
			c.waitRetry()
			continue
		}
		c.record(e.Name, report.Status)
	}
}

func (c *confirmer) waitRetry() {
	select {
	case <-c.pool.ctx.Done():
	case <-c.pool.clock.After(positionRetryDelay):
	}
}

// lowestWanted returns the lowest awaited position that the replica is not known to hold. If there is none, it marks
// the polling as ended.
func (c *confirmer) lowestWanted(name string) (endpoint.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	var lowest endpoint.Position
	for w := range c.waiters {
		if c.reports[name].covers(w.position) {
			continue
		}
		if !found || w.position.Compare(lowest) < 0 {
			lowest, found = w.position, true
		}
	}
	if !found {
		c.polling[name] = false
	}
	return lowest, found
}

// record stores a member's status, wakes the waiters whose position is now confirmed, and fails those whose position
// can't be confirmed any more.
func (c *confirmer) record(name string, status endpoint.Status) {
	own := c.pool.snapshot().status
	others := c.otherMembers()
	c.mu.Lock()
	c.reports[name] = memberReport{status: status, at: c.pool.now()}
	superseded := own.Leads() && c.supersededLocked(others, own.Fenced)
	for w := range c.waiters {
		done := c.confirmedLocked(others, w.position.Term).Covers(w.position)
		w.failed = !done && superseded && uint64(w.position.Term) <= uint64(own.Fenced)
		if done || w.failed {
			delete(c.waiters, w)
			close(w.done)
		}
	}
	c.mu.Unlock()
	if superseded {
		c.pool.abortWrites(own.Log.Term)
	}
}

func (c *confirmer) setEstablished(term endpoint.LogTerm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.established = term
}

func (c *confirmer) isEstablished(term endpoint.LogTerm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established == term
}

// superseded reports whether a majority of the group was last seen to have promised a higher term, so that this primary
// can't get commits confirmed any more.
func (c *confirmer) superseded(term endpoint.FencedTerm) bool {
	others := c.otherMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.supersededLocked(others, term)
}

func (c *confirmer) supersededLocked(others []config.Endpoint, term endpoint.FencedTerm) bool {
	higher := 0
	for _, e := range others {
		if c.reports[e.Name].status.Fenced > term {
			higher++
		}
	}
	return higher >= session.Majority(len(others)+1)
}

// confirmable reports whether enough replicas for a majority were recently receiving from the primary of the term.
func (c *confirmer) confirmable(term endpoint.LogTerm) bool {
	others, interval := c.otherMembers(), c.pool.currentOptions().Interval
	c.mu.Lock()
	defer c.mu.Unlock()
	now, count := c.pool.now(), 1
	maxAge := confirmableIntervals * max(certifyInterval, interval)
	for _, e := range others {
		report := c.reports[e.Name]
		if report.follows(term) && now.Sub(report.at) <= maxAge {
			count++
		}
	}
	return count >= session.Majority(len(others)+1)
}

// establish confirms that a majority holds a record of the primary's term. The primary accepts no writes before that.
func (p *Pool) establish() {
	status := p.snapshot().status
	if !status.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, establishTimeout)
	defer cancel()
	if p.confirmer.wait(ctx, status.Log) == nil {
		p.confirmer.setEstablished(status.Log.Term)
	}
}
