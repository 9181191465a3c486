package hosting

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"
)

// answer is the outcome of one query: rows and a receipt, or an error code.
type answer struct {
	rows    []string
	receipt string
	code    string
	// lost closes the connection instead of sending the answer.
	lost bool
}

// session is one connection to an endpoint. Its own fields are used by one goroutine; the endpoint's are guarded by the
// group's lock.
type session struct {
	endpoint *Endpoint
	conn     net.Conn
	number   int
	// listener is the one that accepted the connection.
	listener net.Listener
	// user is who connected, as START says.
	user string
	// state is I outside a transaction, T inside one and E inside a failed one.
	state string
	// readOnly tells whether the transaction is read-only.
	readOnly bool
	settings map[string]string
	prepared map[string]string
	// pendingRequests and pendingData are the writes of the open transaction: their request ids, and their values by
	// item.
	pendingRequests []string
	pendingData     map[string]string
}

func (e *Endpoint) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := &session{endpoint: e, listener: listener, conn: conn, number: int(e.accepted.Add(1)), state: "I"}
		go s.serve()
	}
}

func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	in := bufio.NewReader(s.conn)
	if !s.handshake(in) {
		return
	}
	defer func() {
		s.endpoint.group.mu.Lock()
		delete(s.endpoint.conns, s.conn)
		s.endpoint.group.mu.Unlock()
	}()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if fields[0] != "QUERY" || len(fields) < 3 {
			return
		}
		if !s.send(s.query(fields[1], fields[2])) {
			return
		}
	}
}

// handshake reads the START line and accepts or refuses the session.
func (s *session) handshake(in *bufio.Reader) bool {
	line, err := in.ReadString('\n')
	if err != nil {
		return false
	}
	e, g := s.endpoint, s.endpoint.group
	fields := strings.Fields(line)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !e.alive || s.listener != e.listener:
		// The endpoint has crashed since it accepted the connection.
		return false
	case len(fields) < 3 || fields[0] != "START" || fields[1] != g.options.Name || len(fields) > 3 && fields[3] != e.id:
		_, _ = fmt.Fprintf(s.conn, "ERR MISROUTED %s\r\n", e.id)
		return false
	case len(e.conns) >= g.options.Connections:
		g.refusedConns++
		_, _ = fmt.Fprintf(s.conn, "ERR TOOMANY %s\r\n", e.id)
		return false
	}
	e.conns[s.conn], s.user = true, fields[2]
	_, err = fmt.Fprintf(s.conn, "READY I %s\r\n", e.applied())
	return err == nil
}

func (s *session) send(a answer) bool {
	if a.lost {
		return false
	}
	var out strings.Builder
	for _, row := range a.rows {
		fmt.Fprintf(&out, "ROW %s\r\n", row)
	}
	if a.code != "" {
		fmt.Fprintf(&out, "ERR %s %s\r\n", a.code, s.endpoint.id)
	} else {
		fmt.Fprintf(&out, "DONE %s\r\n", a.receipt)
	}
	s.endpoint.group.mu.Lock()
	position := s.endpoint.applied()
	s.endpoint.group.mu.Unlock()
	fmt.Fprintf(&out, "READY %s %s\r\n", s.state, position)
	_, err := s.conn.Write([]byte(out.String()))
	return err == nil
}

func (s *session) query(id, text string) answer {
	after := Position{}
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		var position string
		position, text, _ = strings.Cut(rest, " ")
		term, number, _ := strings.Cut(position, ".")
		after.Term, _ = strconv.ParseUint(term, 10, 64)
		after.Number, _ = strconv.ParseUint(number, 10, 64)
	}
	command, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && command != "ROLLBACK" && command != "COMMIT" {
		return answer{code: "BAD"}
	}
	switch command {
	case "COMMIT", "ROLLBACK", "STATUS", "HOLD", "RESUME", "DEMOTE":
	default:
		if s.endpoint.fails() {
			if s.state == "T" {
				s.state = "E"
			}
			return answer{code: "FAILED"}
		}
	}
	switch command {
	case "BEGIN":
		return s.begin(rest, after)
	case "ROLLBACK":
		s.endTransaction()
		return answer{receipt: "-"}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if s.settings == nil {
			s.settings = make(map[string]string)
		}
		s.settings[name] = value
		return answer{receipt: "-"}
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		if s.prepared == nil {
			s.prepared = make(map[string]string)
		}
		s.prepared[fields[0]] = fields[1]
		return answer{receipt: "-"}
	case "FORGET":
		delete(s.prepared, rest)
		return answer{receipt: "-"}
	case "RESET":
		s.settings, s.prepared = nil, nil
		return answer{receipt: "-"}
	case "STATUS", "HOLD", "RESUME", "DEMOTE":
		s.endpoint.group.delayOrder()
		defer s.endpoint.group.delayOrder()
		return s.endpoint.adminQuery(command, rest)
	default:
		return s.execute(id, command, rest, text, after)
	}
}

func (s *session) begin(mode string, after Position) answer {
	g := s.endpoint.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case mode != "READ" && !s.endpoint.isPrimary():
		return answer{code: "READONLY"}
	case !s.endpoint.applied().Covers(after):
		return answer{code: "BEHIND"}
	}
	s.state, s.readOnly = "T", mode == "READ"
	return answer{receipt: "-"}
}

func (s *session) endTransaction() {
	s.state, s.pendingRequests, s.pendingData = "I", nil, nil
}

// execute occupies a slot for the work time and then runs a read, write or commit.
func (s *session) execute(id, command, rest, text string, after Position) answer {
	e, g := s.endpoint, s.endpoint.group
	writes := command == "WRITE"
	if command == "EXEC" {
		name, arguments, _ := strings.Cut(rest, " ")
		mode, ok := s.prepared[name]
		if !ok {
			return answer{code: "NOSTMT"}
		}
		writes, rest = mode == "WRITE", arguments
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !e.applied().Covers(after):
		return answer{code: "BEHIND"}
	case s.primaryLost(command, writes):
		if s.state == "T" {
			s.state = "E"
		}
		return answer{code: "READONLY"}
	case e.busySlots >= g.options.Slots:
		return answer{code: "BUSY"}
	}
	e.busySlots++
	g.mu.Unlock()
	time.Sleep(g.options.Work)
	g.mu.Lock()
	e.busySlots--
	if s.primaryLost(command, writes) {
		s.state = "E"
		return answer{code: "READONLY"}
	}
	visible := e.visible()
	g.runs = append(g.runs, Run{
		Request: id, Endpoint: e.id, Conn: s.number, User: s.user, InTransaction: s.state == "T", Settings: fmt.Sprint(sortedPairs(s.settings)), Text: text,
		Log: lastPosition(visible), Started: time.Now(),
	})
	a := s.apply(id, command, rest, writes, visible)
	if e.answersToLose > 0 {
		e.answersToLose--
		a.lost = true
	}
	return a
}

func sortedPairs(m map[string]string) []string {
	out := make([]string, 0, len(m))
	for name, value := range m {
		out = append(out, name+"="+value)
	}
	slices.Sort(out)
	return out
}

// primaryLost reports whether the statement requires the primary and the endpoint is not primary.
func (s *session) primaryLost(command string, writes bool) bool {
	readWrite := s.state == "T" && !s.readOnly
	if command == "COMMIT" && len(s.pendingRequests) == 0 {
		return false
	}
	return (writes || readWrite) && !s.endpoint.isPrimary()
}

// apply runs a statement against the visible records.
func (s *session) apply(id, command, rest string, writes bool, visible []Record) answer {
	receipt := s.endpoint.id + "." + id
	switch {
	case command == "COMMIT":
		requests, data := s.pendingRequests, s.pendingData
		s.endTransaction()
		if len(requests) == 0 {
			return answer{receipt: receipt}
		}
		return s.commit(receipt, append(requests, id), data)
	case writes:
		item, value, _ := strings.Cut(rest, " ")
		if s.state == "T" {
			if s.pendingData == nil {
				s.pendingData = make(map[string]string)
			}
			s.pendingRequests = append(s.pendingRequests, id)
			s.pendingData[item] = value
			return answer{receipt: receipt}
		}
		return s.commit(receipt, []string{id}, map[string]string{item: value})
	default:
		return answer{rows: []string{s.lookup(rest, visible)}, receipt: receipt}
	}
}

// lookup returns the item's value as the session sees it: its own pending write, else the last visible record.
func (s *session) lookup(item string, visible []Record) string {
	if value, ok := s.pendingData[item]; ok {
		return value
	}
	for i := len(visible) - 1; i >= 0; i-- {
		if value, ok := visible[i].Data[item]; ok {
			return value
		}
	}
	return ""
}

// commit appends a record and waits until enough replicas have received it. The group's lock is held, but released
// while waiting.
func (s *session) commit(receipt string, requests []string, data map[string]string) answer {
	e, g := s.endpoint, s.endpoint.group
	record := Record{Position: Position{Term: g.term, Number: e.logEnd().Number + 1}, Requests: requests, Data: maps.Clone(data)}
	e.log = append(slices.Clone(e.log), record)
	g.replicate()
	for g.countReceived(record.Position, e) < g.options.SyncReplicas {
		if !e.alive {
			return answer{lost: true}
		}
		if !e.isPrimary() || e.term != record.Position.Term {
			if !e.discard(record.Position) {
				return answer{lost: true}
			}
			return answer{code: "READONLY"}
		}
		g.changed.Wait()
	}
	if record.Position.Covers(g.acknowledged) {
		g.acknowledged = record.Position
	}
	return answer{receipt: receipt}
}
