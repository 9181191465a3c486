package group

import (
	"time"

	"siskincove/endpoint"
)

// batch is what an upstream sends to a follower: the length of the common prefix of their logs, and the records after it.
// ok is false if the upstream does not serve the follower.
type batch struct {
	ok     bool
	prefix int
	tail   []record
}

// batchFor returns the records that a follower with the given log lacks, provided that the member is primary under
// term.
func (m *Member) batchFor(term endpoint.FencedTerm, log []record) batch {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.servesTerm(term) {
		return batch{}
	}
	prefix := commonPrefix(m.log, log)
	return batch{ok: true, prefix: prefix, tail: append([]record(nil), m.log[prefix:]...)}
}

// servesTerm reports whether the member is reachable for its peers and primary under term.
func (m *Member) servesTerm(term endpoint.FencedTerm) bool {
	reachable := !m.faults.Killed && !m.faults.Frozen && !m.faults.CutPeers
	return reachable && m.primary && m.fenced == term
}

// commonPrefix returns how many leading records two logs share. It searches from the end, since logs that share an
// entry share all entries before it.
func commonPrefix(a, b []record) int {
	n := min(len(a), len(b))
	for n > 0 && !a[n-1].sameEntry(b[n-1]) {
		n--
	}
	return n
}

// applyBatch truncates the log to the common prefix, appends the records that have arrived after the delay and applies
// those whose apply lag has passed. A batch requested under an earlier term or from an earlier upstream is ignored.
func (m *Member) applyBatch(b batch, term endpoint.FencedTerm, from string, delay time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fenced != term || m.upstream != from {
		return
	}
	m.receiving = b.ok
	if b.ok {
		m.truncate(b.prefix)
		m.receive(b.tail, now.Add(-delay-m.faults.ReceiveLag))
	}
	m.applyDue(now.Add(-m.faults.ApplyLag))
}

// truncate drops the log after length and, if dropped records were applied, rebuilds the rows.
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
		if r.committedAt.After(sentBy) {
			return
		}
		m.log = append(m.log, r)
	}
}

func (m *Member) applyDue(committedBy time.Time) {
	for m.applied < len(m.log) && !m.log[m.applied].committedAt.After(committedBy) {
		m.rows.apply(m.log[m.applied])
		m.applied++
	}
}

// followState is what a pull from the upstream needs to know of the follower.
type followState struct {
	active   bool
	term     endpoint.FencedTerm
	upstream string
	log      []record
}

func (m *Member) followState() followState {
	m.mu.Lock()
	defer m.mu.Unlock()
	active := m.upstream != "" && !m.faults.Killed && !m.faults.Frozen
	return followState{active: active, term: m.fenced, upstream: m.upstream, log: m.log}
}
