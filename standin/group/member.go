package group

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// errRefused is returned to writes on a member that does not accept them.
var errRefused = errors.New("cannot execute INSERT in a read-only transaction")

// Member is one endpoint's state: its log, what it has applied and what it has promised.
type Member struct {
	mu       sync.Mutex
	changed  *sync.Cond
	name     string
	address  string
	domain   string
	fenced   endpoint.FencedTerm
	leading  bool
	readOnly bool
	upstream string
	// marked is the custom setting of the stock dialect in which the log's term is remembered.
	marked    string
	receiving bool
	log       []record
	applied   int
	rows      *store
	serial    uint64
	faults    Faults
	kills     uint64
}

func newMember(name, address, domain string) *Member {
	m := &Member{name: name, address: address, domain: domain, rows: newStore()}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// Status returns the member's own view of itself.
func (m *Member) Status() endpoint.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return endpoint.Status{
		Role:      m.role(),
		Fenced:    m.fenced,
		Log:       m.position(len(m.log)),
		Applied:   m.position(m.applied),
		Receiving: m.receiving,
	}
}

func (m *Member) role() endpoint.Role {
	switch {
	case m.leading && !m.readOnly:
		return endpoint.Primary
	case m.upstream != "":
		return endpoint.Replica
	default:
		return endpoint.Stopped
	}
}

func (m *Member) position(length int) endpoint.Position {
	if length == 0 {
		return endpoint.Position{}
	}
	return endpoint.Position{Term: m.log[length-1].term, Offset: uint64(length)}
}

// commit appends a transaction to the log of a primary.
func (m *Member) commit(changes []change, now time.Time) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leading || m.readOnly {
		return 0, errRefused
	}
	return m.write(changes, now), nil
}

func (m *Member) write(changes []change, now time.Time) uint64 {
	m.serial++
	r := record{term: endpoint.LogTerm(m.fenced), serial: m.serial, changes: changes, at: now}
	m.log = append(m.log, r)
	m.applied = len(m.log)
	m.rows.apply(r)
	return uint64(len(m.log))
}

// values returns the applied rows under key.
func (m *Member) values(table, key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows.values(table, key)
}

// acceptsWrites reports whether a write would be taken now.
func (m *Member) acceptsWrites() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading && !m.readOnly
}

// raiseFence promises term; with strict it fails unless term is higher than any promised.
func (m *Member) raiseFence(term endpoint.FencedTerm, strict bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fenced || (strict && term == m.fenced) {
		return errors.Newf("term %d is not above the promised term %d", term, m.fenced)
	}
	if term > m.fenced {
		m.leading = false
	}
	m.fenced = term
	return nil
}

// setReadOnly refuses or admits writes.
func (m *Member) setReadOnly(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readOnly = on
}

// setMarked keeps the custom setting for the log's term.
func (m *Member) setMarked(term string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.marked = term
}

// setUpstream follows the member at address, or nobody when it is empty.
func (m *Member) setUpstream(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream = address
	m.receiving = false
	if address != "" {
		m.leading = false
		m.readOnly = false
	}
}

// promote makes the member primary and, with first, writes the first record of its term.
func (m *Member) promote(first bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	already := m.leading
	m.upstream = ""
	m.receiving = false
	m.leading = true
	m.applyAll()
	if first && !already {
		m.write(nil, now)
	}
}

// promoteAt promotes under a term that must have been promised, and does nothing when that was done before.
func (m *Member) promoteAt(term endpoint.FencedTerm, now time.Time) error {
	m.mu.Lock()
	promised := m.fenced
	m.mu.Unlock()
	if promised != term {
		return errors.Newf("term %d was not promised; %d was", term, promised)
	}
	m.setReadOnly(false)
	m.promote(true, now)
	return nil
}

// firstRecord writes an empty record under the promised term unless the log already ends in that term.
func (m *Member) firstRecord(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leading && uint64(m.position(len(m.log)).Term) < uint64(m.fenced) {
		m.write(nil, now)
	}
}

func (m *Member) applyAll() {
	for m.applied < len(m.log) {
		m.rows.apply(m.log[m.applied])
		m.applied++
	}
}

// SetFaults replaces the member's faults by what edit makes of them.
func (m *Member) SetFaults(edit func(Faults) Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := edit(m.faults)
	if next.Killed && !m.faults.Killed {
		m.kills++
	}
	m.faults = next
	m.changed.Broadcast()
}

// Faults returns the member's current faults.
func (m *Member) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// takeFault reports whether the fault chosen by pick was set, and clears it.
func (m *Member) takeFault(pick func(*Faults) *bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	flag := pick(&m.faults)
	was := *flag
	*flag = false
	return was
}
