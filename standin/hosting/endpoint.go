package hosting

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"
)

// Endpoint is one member of a group. Its fields are guarded by the group's lock.
type Endpoint struct {
	group    *Group
	id       string
	zone     string
	address  string
	listener net.Listener
	primary  bool
	alive    bool
	term     uint64
	log      []Record
	// readableAt holds the time from which each record of the log is readable here.
	readableAt []time.Time
	// heldTerm is the term for which a replica stopped receiving on request (HOLD), 0 for none.
	heldTerm uint64
	// receiveBlocked stops a replica from receiving, sendBlocked stops a primary from sending to its replicas.
	receiveBlocked bool
	sendBlocked    bool
	leaving        bool
	// unlisted keeps the endpoint out of the servers table, as while the platform carries out its registration late.
	unlisted bool
	// departed endpoints never start again.
	departed bool
	// answersToLose is how many of the next answers are dropped after their statements ran.
	answersToLose int
	// failingShare is the share of the requests that fail without an effect.
	failingShare float64
	busySlots    int
	conns        map[net.Conn]bool
	// accepted counts the connections, also those from before a restart.
	accepted atomic.Int64
	// born is the start time in Unix milliseconds.
	born int64
}

// firstTerm is the term of a group's first primary.
const firstTerm = 1

func newEndpoint(g *Group, id, zone string) (*Endpoint, error) {
	e := &Endpoint{group: g, id: id, zone: zone, term: firstTerm}
	return e, e.listen("127.0.0.1:0")
}

func (e *Endpoint) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.address, e.alive = listener, listener.Addr().String(), true
	e.conns, e.busySlots, e.born = make(map[net.Conn]bool), 0, time.Now().UnixMilli()
	go e.accept(listener)
	return nil
}

// ID returns the endpoint's id, which is its key in the servers table.
func (e *Endpoint) ID() string {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.id
}

// Zone returns the endpoint's failure domain.
func (e *Endpoint) Zone() string { return e.zone }

// Crash closes the listener and all connections, like the end of the process; the log is kept.
func (e *Endpoint) Crash() {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	e.stop()
}

// stop closes the listener and all connections; the group's lock must be held.
func (e *Endpoint) stop() {
	if !e.alive {
		return
	}
	e.alive = false
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.group.changed.Broadcast()
}

// Restart starts a crashed endpoint with its log. It is primary again only if no other endpoint was promoted meanwhile. An endpoint that
// has departed after its crash stays stopped.
func (e *Endpoint) Restart() error { return e.RestartAs(e.ID()) }

// RestartAs is Restart under another id, at the same address.
func (e *Endpoint) RestartAs(id string) error {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if e.alive || e.departed {
		return nil
	}
	if e.id != id {
		e.group.store.Write("servers", e.id, nil)
		e.id = id
	}
	if err := e.listen(e.address); err != nil {
		return err
	}
	e.primary = e.primary && e.term == e.group.term
	e.heldTerm = 0
	e.group.replicate()
	e.register()
	return nil
}

// Drain registers the endpoint as draining.
func (e *Endpoint) Drain() {
	e.update(func() { e.leaving = true })
	e.group.Register()
}

// Return registers a draining endpoint as ready again, as if another had started at its address with its log.
func (e *Endpoint) Return() {
	e.update(func() { e.leaving = false })
	e.group.Register()
}

// SetReceiveBlocked stops a replica from receiving records, or lets it receive again.
func (e *Endpoint) SetReceiveBlocked(blocked bool) { e.update(func() { e.receiveBlocked = blocked }) }

// SetSendBlocked stops the primary from sending records to its replicas, or lets it send again. Callers still reach it.
func (e *Endpoint) SetSendBlocked(blocked bool) { e.update(func() { e.sendBlocked = blocked }) }

// SetUnlisted removes the endpoint's registration while it goes on, or writes it again.
func (e *Endpoint) SetUnlisted(unlisted bool) {
	e.update(func() { e.unlisted = unlisted })
	e.group.Register()
}

// LoseAnswers makes the endpoint run the next n statements and close the connection instead of answering.
func (e *Endpoint) LoseAnswers(n int) { e.update(func() { e.answersToLose = n }) }

// SetFailing makes the endpoint fail a share of all requests but those that end a transaction, its own orders and its health check;
// 0 for none. They have no effect but that an open transaction fails.
func (e *Endpoint) SetFailing(share float64) { e.update(func() { e.failingShare = share }) }

// fails draws whether the next request fails.
func (e *Endpoint) fails() bool {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.failingShare > 0 && rand.Float64() < e.failingShare
}

// update applies a change under the group's lock and replicates with the new state.
func (e *Endpoint) update(change func()) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	change()
	e.group.replicate()
	e.group.changed.Broadcast()
}

// HeldTerm returns the term for which the endpoint holds its log (HOLD), 0 for none.
func (e *Endpoint) HeldTerm() uint64 {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.heldTerm
}

// registration is an endpoint's row in the servers table.
type registration struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMS int    `json:"cold-remaining-ms"`
	Role            string `json:"db-role"`
	Sequence        int    `json:"sequence"`
	Born            int64  `json:"born"`
}

func (e *Endpoint) register() {
	if !e.alive || e.unlisted {
		e.group.store.Write("servers", e.id, nil)
		return
	}
	state, role := "ready", "replica"
	if e.leaving {
		state = "draining"
	}
	if e.primary && e.term == e.group.term {
		role = "primary"
	}
	e.group.store.Write("servers", e.id, registration{
		Service: e.group.options.Name, Address: e.address, Zone: e.zone, Version: "v1", Slots: e.group.options.Slots,
		State: state, Role: role, Born: e.born,
	})
}

// replaceLog replaces the log by the primary's. Records that both logs share keep the time from which they are
// readable; the others become readable after lag.
func (e *Endpoint) replaceLog(log []Record, lag time.Duration) {
	common := 0
	for common < len(e.log) && common < len(log) && e.log[common].Position == log[common].Position {
		common++
	}
	for len(e.readableAt) < common {
		// A former primary could already read all of its own records.
		e.readableAt = append(e.readableAt, time.Time{})
	}
	e.readableAt = e.readableAt[:common]
	for range log[common:] {
		e.readableAt = append(e.readableAt, time.Now().Add(lag))
	}
	e.log = slices.Clone(log)
}

// discard removes a record that no other endpoint has, and those of the same term after it, since READONLY promises that they did not
// run. It returns false if records of a later term rest on it.
func (e *Endpoint) discard(p Position) bool {
	index := slices.IndexFunc(e.log, func(r Record) bool { return r.Position == p })
	if index < 0 {
		return true
	}
	if slices.ContainsFunc(e.log[index:], func(r Record) bool { return r.Position.Term != p.Term }) {
		return false
	}
	e.log = slices.Clone(e.log[:index])
	e.readableAt = e.readableAt[:min(len(e.readableAt), index)]
	return true
}

func (e *Endpoint) hasRecord(p Position) bool {
	return slices.ContainsFunc(e.log, func(r Record) bool { return r.Position == p })
}

// logEnd returns the position of the last record received.
func (e *Endpoint) logEnd() Position {
	return lastPosition(e.log)
}

// isPrimary reports whether the endpoint is the primary of the newest term.
func (e *Endpoint) isPrimary() bool { return e.primary && e.term == e.group.term }

// visible returns the records that are readable here: all on the primary, those past the apply lag on a replica.
func (e *Endpoint) visible() []Record {
	if e.isPrimary() {
		return e.log
	}
	n := 0
	for n < len(e.readableAt) && n < len(e.log) && !e.readableAt[n].After(time.Now()) {
		n++
	}
	return e.log[:n]
}

// applied returns the position of the last readable record.
func (e *Endpoint) applied() Position {
	return lastPosition(e.visible())
}

// lastPosition returns the position of the last of the given records, and the start of the log if there are none, as on an endpoint
// that has just joined.
func lastPosition(records []Record) Position {
	if len(records) == 0 {
		return Position{Term: firstTerm}
	}
	return records[len(records)-1].Position
}
