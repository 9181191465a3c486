package main

import (
	"bufio"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workTime     = 4 * time.Millisecond
	promoteDelay = 300 * time.Millisecond
	slots        = 5
	pingInterval = 1200 * time.Millisecond
)

// position is a position in a log, TERM.NUMBER.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) covers(o position) bool {
	return p.term > o.term || p.term == o.term && p.number >= o.number
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	var p position
	p.term, _ = strconv.ParseUint(term, 10, 64)
	p.number, _ = strconv.ParseUint(number, 10, 64)
	return p
}

// entry is a commit in a log.
type entry struct {
	at   position
	data map[string]string
}

// run is one execution of a requester's statement by a backend.
type run struct {
	at       time.Duration
	backend  string
	conn     int
	id, text string
	// code is the error with which it was answered, empty for none.
	code string
	// settings are the values of the connection at that moment.
	settings map[string]string
	// known is false for an EXEC of a name that the connection doesn't have; shape is what the name stands for there.
	known bool
	shape string
}

// group is a service: one primary and its replicas, which receive each commit at once.
type group struct {
	name   string
	store  *store
	record *recorder

	mu      sync.Mutex
	changed *sync.Cond
	term    uint64
	members []*backend
	runs    []run
	conns   int
}

// backend is a backend of a service. Its fields are guarded by the group's lock.
type backend struct {
	group    *group
	id, zone string
	listener net.Listener
	primary  bool
	term     uint64
	log      []entry
	held     uint64
	// cut is set while the backend neither sends its log to the others nor receives theirs.
	cut bool
	// failing is the share of its requests that the backend fails.
	failing float64
	busy    int
	born    int64
	open    int
	// gone is set once the backend is lost for good.
	gone  bool
	conns map[net.Conn]bool
}

func startGroup(s *store, r *recorder, name string, number int, zones []string) *group {
	g := &group{name: name, store: s, record: r, term: 1}
	g.changed = sync.NewCond(&g.mu)
	for i, zone := range zones {
		b := &backend{
			group: g, id: fmt.Sprintf("i-%d%03d", number+1, i+1), zone: zone, listener: listen(), primary: i == number%len(zones), term: 1, born: time.Now().UnixMilli(),
			log: []entry{{at: position{1, 1}}}, conns: make(map[net.Conn]bool),
		}
		g.members = append(g.members, b)
		go b.accept()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.register()
	return g
}

// register writes the backends' entries; g.mu must be held.
func (g *group) register() {
	for _, b := range g.members {
		if b.gone {
			continue
		}
		role := "replica"
		if b.leads() {
			role = "primary"
		}
		g.store.write("servers", b.id, map[string]any{
			"service": g.name, "address": b.listener.Addr().String(), "zone": b.zone, "version": "v1", "slots": slots, "state": "ready",
			"cold-remaining-ms": 0, "db-role": role, "sequence": 1, "born": b.born,
		})
	}
}

func (g *group) leader() *backend {
	for _, b := range g.members {
		if b.leads() {
			return b
		}
	}
	return nil
}

// primary returns the backend that leads, nil for none.
func (g *group) primary() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader()
}

// set changes a backend.
func (g *group) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
	g.replicate()
}

func (g *group) promote(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.members, func(b *backend) bool { return b.id == id })
	if i < 0 || g.members[i].gone {
		return false
	}
	if g.members[i] != g.leader() {
		time.AfterFunc(promoteDelay, func() { g.lead(g.members[i]) })
	}
	return true
}

func (g *group) lead(b *backend) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term++
	for _, other := range g.members {
		other.primary = false
	}
	b.primary, b.term, b.held = true, g.term, 0
	g.record.line("backend %s leads term %d from %s", b.id, g.term, b.end())
	g.replicate()
	g.register()
}

// replicate sends the primary's log to all replicas that receive; g.mu must be held.
func (g *group) replicate() {
	if p := g.leader(); p != nil && !p.cut && !p.gone {
		for _, b := range g.members {
			if b != p && b.held == 0 && !b.cut && !b.gone {
				b.term, b.log = g.term, slices.Clone(p.log)
			}
		}
	}
	g.changed.Broadcast()
}

func (b *backend) leads() bool   { return b.primary && b.term == b.group.term }
func (b *backend) end() position { return b.log[len(b.log)-1].at }

// lose ends a backend for good; its entry is removed after three intervals of its pings.
func (b *backend) lose() {
	b.group.set(func() {
		b.gone = true
		_ = b.listener.Close()
		for conn := range b.conns {
			_ = conn.Close()
		}
	})
	b.group.record.line("backend %s is lost for good", b.id)
	time.AfterFunc(3*pingInterval, func() { b.group.store.write("servers", b.id, nil) })
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// session is a connection to a backend.
type session struct {
	backend  *backend
	number   int
	state    string
	readOnly bool
	settings map[string]string
	prepared map[string]string
	pending  map[string]string
}

func (b *backend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReaderSize(conn, 1<<16)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "START" || fields[1] != b.group.name || len(fields) > 3 && fields[3] != b.id {
		_, _ = fmt.Fprintf(conn, "ERR MISROUTED %s\r\n", b.id)
		return
	}
	g := b.group
	g.mu.Lock()
	g.conns++
	s := &session{backend: b, number: g.conns, state: "I", settings: map[string]string{}, prepared: map[string]string{}}
	b.open++
	b.conns[conn] = true
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", b.end())
	g.mu.Unlock()
	defer g.set(func() {
		b.open--
		delete(b.conns, conn)
	})
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if fields[0] != "QUERY" || len(fields) < 3 {
			return
		}
		rows, receipt, code := s.query(fields[1], fields[2])
		var out strings.Builder
		for _, r := range rows {
			fmt.Fprintf(&out, "ROW %s\r\n", r)
		}
		if code != "" {
			fmt.Fprintf(&out, "ERR %s %s\r\n", code, b.id)
		} else {
			fmt.Fprintf(&out, "DONE %s\r\n", receipt)
		}
		g.mu.Lock()
		fmt.Fprintf(&out, "READY %s %s\r\n", s.state, b.end())
		g.mu.Unlock()
		if _, err := conn.Write([]byte(out.String())); err != nil {
			return
		}
	}
}

// query runs a statement and returns its rows, its receipt and its error code.
func (s *session) query(id, text string) ([]string, string, string) {
	var after position
	plain := text
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, rest, _ := strings.Cut(rest, " ")
		after, plain = parsePosition(at), rest
	}
	command, rest, _ := strings.Cut(plain, " ")
	b, g := s.backend, s.backend.group
	g.mu.Lock()
	defer g.mu.Unlock()
	rows, receipt, code := s.execute(id, command, rest, after)
	if command == "STATUS" || command == "HOLD" || command == "RESUME" || command == "DEMOTE" {
		return rows, receipt, code
	}
	g.record.line("backend %s connection %d: %s %s -> %s", b.id, s.number, id, text, orDone(code))
	if id != "-" {
		name, _, _ := strings.Cut(rest, " ")
		shape, known := s.prepared[name]
		g.runs = append(g.runs, run{
			at: g.record.since(), backend: b.id, conn: s.number, id: id, text: plain, code: code, settings: maps.Clone(s.settings),
			known: command != "EXEC" || known, shape: shape,
		})
	}
	return rows, receipt, code
}

func orDone(code string) string {
	if code == "" {
		return "DONE"
	}
	return "ERR " + code
}

// execute runs a statement; g.mu is held.
func (s *session) execute(id, command, rest string, after position) ([]string, string, string) {
	b, g := s.backend, s.backend.group
	ends := command == "COMMIT" || command == "ROLLBACK"
	lost := s.state == "T" && !s.readOnly && !b.leads()
	switch {
	case command == "STATUS" || command == "HOLD" || command == "RESUME" || command == "DEMOTE":
		return b.order(command, rest)
	case s.state == "E" && !ends:
		return nil, "", "BAD"
	case lost && command != "ROLLBACK" && (command != "COMMIT" || len(s.pending) > 0):
		// Any statement of a plain transaction whose backend has lost the lead.
		s.state = "E"
		if ends {
			s.end()
		}
		return nil, "", "READONLY"
	case !ends && b.failing > 0 && rand.Float64() < b.failing:
		if s.state == "T" {
			s.state = "E"
		}
		return nil, "", "FAILED"
	}
	switch command {
	case "BEGIN":
		if rest != "READ" && !b.leads() {
			return nil, "", "READONLY"
		}
		if !b.end().covers(after) {
			return nil, "", "BEHIND"
		}
		s.state, s.readOnly, s.pending = "T", rest == "READ", map[string]string{}
	case "ROLLBACK":
		s.end()
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.settings[name] = value
	case "RESET":
		s.settings, s.prepared = map[string]string{}, map[string]string{}
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
	case "FORGET":
		delete(s.prepared, rest)
	default:
		return s.work(id, command, rest, after)
	}
	g.changed.Broadcast()
	return nil, "-", ""
}

func (s *session) end() { s.state, s.pending = "I", nil }

// order carries out an order of a coordinator.
func (b *backend) order(command, argument string) ([]string, string, string) {
	term, _ := strconv.ParseUint(argument, 10, 64)
	switch {
	case command == "HOLD" && !b.leads() && term > b.group.term && term > b.held:
		b.held = term
	case command == "DEMOTE" && b.leads() && term > b.term:
		b.primary = false
	case command == "RESUME":
		b.held = 0
		b.group.replicate()
	}
	role := "replica"
	if b.leads() {
		role = "primary"
	}
	return []string{fmt.Sprintf("%s %d %s %d 0 %d %d", role, b.term, b.end(), b.held, b.busy, b.open)}, "-", ""
}

// work runs a read, write or commit; g.mu is held, and released meanwhile.
func (s *session) work(id, command, rest string, after position) ([]string, string, string) {
	b, g := s.backend, s.backend.group
	writes := command == "WRITE"
	if command == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, known := s.prepared[name]
		if !known {
			return nil, "", "NOSTMT"
		}
		writes, rest = strings.HasPrefix(shape, "WRITE"), arguments
	}
	refusal := func() string {
		switch {
		case !b.end().covers(after):
			return "BEHIND"
		case writes && (!b.leads() || s.readOnly && s.state == "T"):
			return "READONLY"
		}
		return ""
	}
	if code := refusal(); code != "" {
		return nil, "", code
	}
	if b.busy >= slots {
		return nil, "", "BUSY"
	}
	b.busy++
	g.mu.Unlock()
	time.Sleep(workTime)
	g.mu.Lock()
	b.busy--
	if code := refusal(); code != "" {
		return nil, "", code
	}
	receipt := b.id + "." + id
	item, value, _ := strings.Cut(rest, " ")
	switch {
	case command == "COMMIT":
		data := s.pending
		s.end()
		if len(data) == 0 {
			return nil, receipt, ""
		}
		return nil, receipt, s.commit(data)
	case writes && s.state == "T":
		s.pending[item] = value
		return nil, receipt, ""
	case writes:
		return nil, receipt, s.commit(map[string]string{item: value})
	default:
		return []string{b.lookup(item, s.pending)}, receipt, ""
	}
}

func (b *backend) lookup(item string, pending map[string]string) string {
	if value, ok := pending[item]; ok {
		return value
	}
	for i := len(b.log) - 1; i >= 0; i-- {
		if value, ok := b.log[i].data[item]; ok {
			return value
		}
	}
	return "none"
}

// commit appends to the log and waits until a replica has received it, or the backend has lost the lead, which discards it.
func (s *session) commit(data map[string]string) string {
	b, g := s.backend, s.backend.group
	e := entry{at: position{b.term, b.end().number + 1}, data: data}
	b.log = append(slices.Clone(b.log), e)
	g.replicate()
	has := func(o *backend) bool {
		return slices.ContainsFunc(o.log, func(other entry) bool { return other.at == e.at })
	}
	for {
		if slices.ContainsFunc(g.members, func(o *backend) bool { return o != b && has(o) }) {
			return ""
		}
		if !b.leads() {
			b.log = slices.DeleteFunc(slices.Clone(b.log), func(other entry) bool { return other.at == e.at })
			return "READONLY"
		}
		g.changed.Wait()
	}
}
