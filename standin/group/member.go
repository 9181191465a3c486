package group

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

// errReadOnly is returned for writes on a member that does not accept them.
var errReadOnly = errors.New("cannot execute INSERT in a read-only transaction")

// Member is the state of one endpoint: its log, how much of it is applied, and the highest term that it has promised.
type Member struct {
	mu      sync.Mutex
	changed *sync.Cond
	name    string
	address string
	domain  string
	// fenced is the highest promised term, as in endpoint.Status.
	fenced   endpoint.FencedTerm
	primary  bool
	readOnly bool
	// upstream is the address of the member that this one follows, empty for none.
	upstream string
	// logTermSetting is the custom setting in which the postgres vendor keeps the term of the log.
	logTermSetting string
	// receiving tells whether the last pull from the upstream succeeded.
	receiving bool
	log       []record
	// applied is how many records of the log are applied to rows.
	applied    int
	rows       *store
	lastSerial uint64
	faults     Faults
	kills      uint64
}

func newMember(name, address, domain string) *Member {
	m := &Member{name: name, address: address, domain: domain, rows: newStore()}
	m.changed = sync.NewCond(&m.mu)
	return m
}

// Status returns the member's status as it would report it.
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
	case m.primary && !m.readOnly:
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

// commit appends a transaction to the log and returns the log's length; it fails unless the member is a writable
// primary.
func (m *Member) commit(changes []change, now time.Time) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.primary || m.readOnly {
		return 0, errReadOnly
	}
	return m.appendRecord(changes, now), nil
}

func (m *Member) appendRecord(changes []change, now time.Time) uint64 {
	m.lastSerial++
	r := record{term: endpoint.LogTerm(m.fenced), serial: m.lastSerial, changes: changes, committedAt: now}
	m.log = append(m.log, r)
	m.applied = len(m.log)
	m.rows.apply(r)
	return uint64(len(m.log))
}

// values returns the applied values under a key.
func (m *Member) values(table, key string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows.values(table, key)
}

// acceptsWrites reports whether the member is a writable primary.
func (m *Member) acceptsWrites() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primary && !m.readOnly
}

// promiseTerm promises a term. It fails for a term below the promised one and, if strict, also for an equal one. A
// higher term ends the member's role as primary.
func (m *Member) promiseTerm(term endpoint.FencedTerm, strict bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.fenced || (strict && term == m.fenced) {
		return errors.Newf("term %d is not above the promised term %d", term, m.fenced)
	}
	if term > m.fenced {
		m.primary = false
	}
	m.fenced = term
	return nil
}

// setReadOnly makes the member refuse or accept writes.
func (m *Member) setReadOnly(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readOnly = on
}

// setLogTermSetting stores the custom setting for the term of the log.
func (m *Member) setLogTermSetting(term string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logTermSetting = term
}

// setUpstream makes the member follow the one at an address, or none if it is empty.
func (m *Member) setUpstream(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream = address
	m.receiving = false
	if address != "" {
		m.primary = false
		m.readOnly = false
	}
}

// promote makes the member primary. With writeFirst it also writes the first record of its term, unless the member was
// primary already.
func (m *Member) promote(writeFirst bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	wasPrimary := m.primary
	m.upstream = ""
	m.receiving = false
	m.primary = true
	m.applyAll()
	if writeFirst && !wasPrimary {
		m.appendRecord(nil, now)
	}
}

// promoteAt promotes the member under a term, which must be the promised one. A repeated promotion writes no further
// record.
func (m *Member) promoteAt(term endpoint.FencedTerm, now time.Time) error {
	m.mu.Lock()
	promised := m.fenced
	m.mu.Unlock()
	if promised != term {
		return errors.Newf("term %d is not the promised term %d", term, promised)
	}
	m.setReadOnly(false)
	m.promote(true, now)
	return nil
}

// writeFirstRecord writes an empty record under the promised term unless the log already ends in that term.
func (m *Member) writeFirstRecord(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.primary && uint64(m.position(len(m.log)).Term) < uint64(m.fenced) {
		m.appendRecord(nil, now)
	}
}

func (m *Member) applyAll() {
	for m.applied < len(m.log) {
		m.rows.apply(m.log[m.applied])
		m.applied++
	}
}

// SetFaults replaces the member's faults by the result of edit.
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

// consumeFault reports whether the fault that pick selects was set, and clears it.
func (m *Member) consumeFault(pick func(*Faults) *bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	flag := pick(&m.faults)
	was := *flag
	*flag = false
	return was
}
