package group

import (
	"time"

	"siskincove/endpoint"
)

// feed is what an upstream offers a follower: the tail of its log past the common prefix.
type feed struct {
	ok     bool
	prefix int
	tail   []record
}

// offer returns the records after the follower's common prefix if the member leads under term.
func (m *Member) offer(term endpoint.FencedTerm, log []record) feed {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.serves(term) {
		return feed{}
	}
	prefix := commonPrefix(m.log, log)
	return feed{ok: true, prefix: prefix, tail: append([]record(nil), m.log[prefix:]...)}
}

func (m *Member) serves(term endpoint.FencedTerm) bool {
	reachable := !m.faults.Killed && !m.faults.Frozen && !m.faults.CutPeers
	return reachable && m.leading && m.fenced == term
}

// commonPrefix returns how many leading records two logs share; logs that share an entry share all before it.
func commonPrefix(a, b []record) int {
	n := min(len(a), len(b))
	for n > 0 && !a[n-1].same(b[n-1]) {
		n--
	}
	return n
}

// take installs a feed: it drops what diverges, appends what has arrived and applies what is due.
func (m *Member) take(f feed, term endpoint.FencedTerm, from string, distance time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced != term || m.upstream != from {
		return
	}
	m.receiving = f.ok
	if f.ok {
		m.truncate(f.prefix)
		m.receive(f.tail, now.Add(-distance-m.faults.ReceiveLag))
	}
	m.applyDue(now.Add(-m.faults.ApplyLag))
}

func (m *Member) truncate(length int) {
	if length >= len(m.log) {
		return
	}
	m.log = m.log[:length:length]
	if m.applied <= length {
		return
	}
	m.rows = newStore()
	m.applied = 0
	m.applyAll()
}

func (m *Member) receive(tail []record, sentBy time.Time) {
	for _, r := range tail {
		if r.at.After(sentBy) {
			return
		}
		m.log = append(m.log, r)
	}
}

func (m *Member) applyDue(committedBy time.Time) {
	for m.applied < len(m.log) && !m.log[m.applied].at.After(committedBy) {
		m.rows.apply(m.log[m.applied])
		m.applied++
	}
}

// following is what a follower needs to know to pull from its upstream.
type following struct {
	active   bool
	term     endpoint.FencedTerm
	upstream string
	log      []record
}

func (m *Member) following() following {
	m.mu.Lock()
	defer m.mu.Unlock()
	active := m.upstream != "" && !m.faults.Killed && !m.faults.Frozen
	return following{active: active, term: m.fenced, upstream: m.upstream, log: m.log}
}
