package hosting

import (
	"net"
	"slices"
	"time"
)

// Endpoint is one member of a group; its fields are guarded by the group's lock.
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
	// readable is when each record of the log can be read.
	readable []time.Time
	held     uint64
	// deaf replicas receive nothing, and an isolated primary sends nothing.
	deaf     bool
	isolated bool
	leaving  bool
	// lose is how many of the next answers are lost after the statement ran.
	lose  int
	busy  int
	conns map[net.Conn]bool
	born  int64
}

func newEndpoint(g *Group, id, zone string) (*Endpoint, error) {
	e := &Endpoint{group: g, id: id, zone: zone, term: 1}
	return e, e.listen("127.0.0.1:0")
}

func (e *Endpoint) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.address, e.alive = listener, listener.Addr().String(), true
	e.conns, e.busy, e.born = make(map[net.Conn]bool), 0, time.Now().UnixMilli()
	go e.accept(listener)
	return nil
}

// ID returns the endpoint's id.
func (e *Endpoint) ID() string { return e.id }

// Crash ends the endpoint's process; it keeps its log.
func (e *Endpoint) Crash() {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
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

// Restart starts a crashed endpoint with its log; it leads only if no other endpoint was promoted.
func (e *Endpoint) Restart() error {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if e.alive {
		return nil
	}
	if err := e.listen(e.address); err != nil {
		return err
	}
	e.primary = e.primary && e.term == e.group.term
	e.held = 0
	e.group.replicate()
	e.register()
	return nil
}

// Drain announces that the endpoint leaves.
func (e *Endpoint) Drain() {
	e.set(func() { e.leaving = true })
	e.group.Register()
}

// SetDeaf makes a replica receive nothing, or receive again.
func (e *Endpoint) SetReceiveBlocked(deaf bool) { e.set(func() { e.deaf = deaf }) }

// SetIsolated makes the primary send nothing to its replicas, or send again.
func (e *Endpoint) SetSendBlocked(isolated bool) { e.set(func() { e.isolated = isolated }) }

// LoseAnswers makes the endpoint run the next n statements and give no answer.
func (e *Endpoint) LoseAnswers(n int) { e.set(func() { e.lose = n }) }

func (e *Endpoint) set(change func()) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	change()
	e.group.replicate()
	e.group.changed.Broadcast()
}

// Held returns the term under which the endpoint is held, 0 for none.
func (e *Endpoint) HeldTerm() uint64 {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.held
}

// entry is what an endpoint registers.
type entry struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Cold    int    `json:"cold-remaining-ms"`
	Role    string `json:"db-role"`
	Counter int    `json:"sequence"`
	Born    int64  `json:"born"`
}

func (e *Endpoint) register() {
	if !e.alive {
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
	e.group.store.Write("servers", e.id, entry{
		Service: e.group.options.Name, Address: e.address, Zone: e.zone, Version: "v1", Slots: e.group.options.Slots,
		State: state, Role: role, Born: e.born,
	})
}

// receive takes over another log, keeping when the records that both have can be read.
func (e *Endpoint) receive(log []Record, lag time.Duration) {
	same := 0
	for same < len(e.log) && same < len(log) && e.log[same].Position == log[same].Position {
		same++
	}
	for len(e.readable) < same {
		// A former primary could read all of its own records.
		e.readable = append(e.readable, time.Time{})
	}
	e.readable = e.readable[:same]
	for range log[same:] {
		e.readable = append(e.readable, time.Now().Add(lag))
	}
	e.log = slices.Clone(log)
}

func (e *Endpoint) has(p Position) bool {
	return slices.ContainsFunc(e.log, func(r Record) bool { return r.Position == p })
}

// end returns the position of the last record received.
func (e *Endpoint) end() Position {
	if len(e.log) == 0 {
		return Position{Term: e.term}
	}
	return e.log[len(e.log)-1].Position
}

// leads reports whether the endpoint is the primary of the newest term.
func (e *Endpoint) leads() bool { return e.primary && e.term == e.group.term }

// visible returns the records that can be read here.
func (e *Endpoint) visible() []Record {
	if e.leads() {
		return e.log
	}
	n := 0
	for n < len(e.readable) && n < len(e.log) && !e.readable[n].After(time.Now()) {
		n++
	}
	return e.log[:n]
}

// applied returns the position up to which can be read.
func (e *Endpoint) applied() Position {
	return e.last(e.visible())
}

// last returns the position of the last of some records.
func (e *Endpoint) last(records []Record) Position {
	if len(records) == 0 {
		return Position{Term: e.term}
	}
	return records[len(records)-1].Position
}
