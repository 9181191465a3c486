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
	// reachPatience is how long an owner of a replica waits for a position before it answers.
	reachPatience = 500 * time.Millisecond
	// reachRetry is the pause after a failed question to the owner of a replica.
	reachRetry = 20 * time.Millisecond
	// establishLimit bounds the confirmation of a new primary's first record.
	establishLimit = 10 * time.Second
	// confirmableRounds is how many certificates' time the last sign of a replica that could confirm may be old.
	confirmableRounds = 4
)

// confirmer finds out when a majority of the group holds a position under the primary's term.
type confirmer struct {
	pool *Pool

	mu          sync.Mutex
	established endpoint.LogTerm
	held        map[string]held
	asking      map[string]bool
	waiters     map[*waiter]struct{}
}

// held is the status that an endpoint last reported.
type held struct {
	status endpoint.Status
	at     time.Time
}

// holds reports whether the report shows that the endpoint holds a position under its term.
func (h held) holds(position endpoint.Position) bool {
	return endpoint.LogTerm(h.status.Fenced) == position.Term && h.status.Log.Term == position.Term && h.status.Log.Covers(position)
}

// follows reports whether the endpoint was receiving from a primary of the term.
func (h held) follows(term endpoint.LogTerm) bool {
	return h.status.Receiving && endpoint.LogTerm(h.status.Fenced) == term
}

// waiter waits for the confirmation of a position; failed is set before done is closed when there can be none.
type waiter struct {
	position endpoint.Position
	done     chan struct{}
	failed   bool
}

func newConfirmer(p *Pool) *confirmer {
	return &confirmer{
		pool:    p,
		held:    make(map[string]held),
		asking:  make(map[string]bool),
		waiters: make(map[*waiter]struct{}),
	}
}

// wait returns once a majority holds the position, or fails with ctx.
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
		return verdict.New(verdict.MayHaveRun, verdict.Unconfirmed, "commit was not confirmed by a majority in time")
	}
}

// add registers a waiter and asks the replicas, unless the position is already held by a majority.
func (c *confirmer) add(w *waiter) bool {
	others := c.others()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmed(others, w.position.Term).Covers(w.position) {
		return true
	}
	c.waiters[w] = struct{}{}
	for _, e := range others {
		if !c.asking[e.Name] {
			c.asking[e.Name] = true
			c.pool.running.Go(func() { c.follow(e) })
		}
	}
	return false
}

func (c *confirmer) remove(w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, w)
}

// others returns the group's endpoints but this pool's.
func (c *confirmer) others() []config.Endpoint {
	o := c.pool.settings()
	out := make([]config.Endpoint, 0, len(o.Members))
	for _, e := range o.Members {
		if e.Name != o.Endpoint.Name {
			out = append(out, e)
		}
	}
	return out
}

// confirmed returns the highest position of the term that a majority holds, this primary counted as holding all.
func (c *confirmer) confirmed(others []config.Endpoint, term endpoint.LogTerm) endpoint.Position {
	reports := make([]endpoint.Status, 0, len(others))
	for _, e := range others {
		reports = append(reports, c.held[e.Name].status)
	}
	return session.Confirmed(reports, len(others)+1, term)
}

// follow asks the owner of one replica for as long as somebody waits for it.
func (c *confirmer) follow(e config.Endpoint) {
	for {
		position, wanted := c.lowest(e.Name)
		if !wanted || c.pool.ctx.Err() != nil {
			return
		}
		report, err := c.pool.owners.Ask(c.pool.ctx, e, StatusRequest{Fresh: true, AwaitPosition: position, Timeout: reachPatience})
		if err != nil || report.Silence > 0 {
			c.pause()
			continue
		}
		c.note(e.Name, report.Status)
	}
}

func (c *confirmer) pause() {
	select {
	case <-c.pool.ctx.Done():
	case <-c.pool.clock.After(reachRetry):
	}
}

// lowest returns the lowest position waited for that the replica is not known to hold, and ends the asking when none is.
func (c *confirmer) lowest(name string) (endpoint.Position, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := false
	var low endpoint.Position
	for w := range c.waiters {
		if c.held[name].holds(w.position) {
			continue
		}
		if !found || w.position.Compare(low) < 0 {
			low, found = w.position, true
		}
	}
	if !found {
		c.asking[name] = false
	}
	return low, found
}

// note records what a replica holds, wakes the waiters that it completes, and lets go at once of those that can't be
// completed any more.
func (c *confirmer) note(name string, status endpoint.Status) {
	own := c.pool.known().status
	others := c.others()
	c.mu.Lock()
	c.held[name] = held{status: status, at: c.pool.now()}
	outvoted := own.Leads() && c.outvoted(others, own.Fenced)
	for w := range c.waiters {
		done := c.confirmed(others, w.position.Term).Covers(w.position)
		w.failed = !done && outvoted && uint64(w.position.Term) <= uint64(own.Fenced)
		if done || w.failed {
			delete(c.waiters, w)
			close(w.done)
		}
	}
	c.mu.Unlock()
	if outvoted {
		c.pool.abort(own.Log.Term)
	}
}

func (c *confirmer) establish(term endpoint.LogTerm) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.established = term
}

func (c *confirmer) serves(term endpoint.LogTerm) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.established == term
}

// superseded reports whether a majority of the group was lately seen to have promised a term above the primary's, so
// that it can get no commit confirmed any more.
func (c *confirmer) superseded(term endpoint.FencedTerm) bool {
	others := c.others()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outvoted(others, term)
}

func (c *confirmer) outvoted(others []config.Endpoint, term endpoint.FencedTerm) bool {
	higher := 0
	for _, e := range others {
		if c.held[e.Name].status.Fenced > term {
			higher++
		}
	}
	return higher >= session.Majority(len(others)+1)
}

// confirmable reports whether enough replicas were lately seen to receive under the term.
func (c *confirmer) confirmable(term endpoint.LogTerm) bool {
	others, interval := c.others(), c.pool.settings().Interval
	c.mu.Lock()
	defer c.mu.Unlock()
	now, count := c.pool.now(), 1
	oldest := confirmableRounds * max(certifyInterval, interval)
	for _, e := range others {
		h := c.held[e.Name]
		if h.follows(term) && now.Sub(h.at) <= oldest {
			count++
		}
	}
	return count >= session.Majority(len(others)+1)
}

// establish confirms that a majority holds a record of the primary's term, before which it serves nothing.
func (p *Pool) establish() {
	status := p.known().status
	if !status.Leads() {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, establishLimit)
	defer cancel()
	if p.confirmer.wait(ctx, status.Log) == nil {
		p.confirmer.establish(status.Log.Term)
	}
}
