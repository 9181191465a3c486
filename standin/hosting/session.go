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

// answer is the outcome of one query.
type answer struct {
	rows []string
	done string
	code string
	// lost answers are not sent, and the connection is closed.
	lost bool
}

// session is one connection to an endpoint; its fields are used by one goroutine, and the endpoint's under the group's
// lock.
type session struct {
	endpoint *Endpoint
	conn     net.Conn
	number   int
	state    string
	// reads tells that the transaction only reads.
	reads    bool
	settings map[string]string
	prepared map[string]string
	requests []string
	data     map[string]string
}

func (e *Endpoint) accept(listener net.Listener) {
	for number := 0; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s := &session{endpoint: e, conn: conn, number: number, state: "I"}
		go s.serve()
	}
}

func (s *session) serve() {
	defer func() { _ = s.conn.Close() }()
	in := bufio.NewReader(s.conn)
	if !s.start(in) {
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
		if !s.reply(s.query(fields[1], fields[2])) {
			return
		}
	}
}

func (s *session) start(in *bufio.Reader) bool {
	line, err := in.ReadString('\n')
	if err != nil {
		return false
	}
	e, g := s.endpoint, s.endpoint.group
	fields := strings.Fields(line)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case len(fields) < 3 || fields[0] != "START" || fields[1] != g.options.Name || len(fields) > 3 && fields[3] != e.id:
		_, _ = fmt.Fprintf(s.conn, "ERR MISROUTED %s\r\n", e.id)
		return false
	case len(e.conns) >= g.options.Connections:
		g.refused++
		_, _ = fmt.Fprintf(s.conn, "ERR TOOMANY %s\r\n", e.id)
		return false
	}
	e.conns[s.conn] = true
	_, err = fmt.Fprintf(s.conn, "READY I %s\r\n", e.applied())
	return err == nil
}

func (s *session) reply(a answer) bool {
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
		fmt.Fprintf(&out, "DONE %s\r\n", a.done)
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
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		return answer{code: "BAD"}
	}
	switch word {
	case "BEGIN":
		return s.begin(rest, after)
	case "ROLLBACK":
		s.finish()
		return answer{done: "-"}
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		if s.settings == nil {
			s.settings = make(map[string]string)
		}
		s.settings[name] = value
		return answer{done: "-"}
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		if s.prepared == nil {
			s.prepared = make(map[string]string)
		}
		s.prepared[fields[0]] = fields[1]
		return answer{done: "-"}
	case "FORGET":
		delete(s.prepared, rest)
		return answer{done: "-"}
	case "RESET":
		s.settings, s.prepared = nil, nil
		return answer{done: "-"}
	case "STATUS", "HOLD", "RESUME", "DEMOTE":
		return s.endpoint.order(word, rest)
	default:
		return s.run(id, word, rest, text, after)
	}
}

func (s *session) begin(mode string, after Position) answer {
	g := s.endpoint.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case mode != "READ" && !s.endpoint.leads():
		return answer{code: "READONLY"}
	case !s.endpoint.applied().Covers(after):
		return answer{code: "BEHIND"}
	}
	s.state, s.reads = "T", mode == "READ"
	return answer{done: "-"}
}

func (s *session) finish() {
	s.state, s.requests, s.data = "I", nil, nil
}

// run takes a slot for the time of the work and runs a read, write or commit.
func (s *session) run(id, word, rest, text string, after Position) answer {
	e, g := s.endpoint, s.endpoint.group
	writes := word == "WRITE"
	if word == "EXEC" {
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
	case s.lostLead(word, writes):
		if s.state == "T" {
			s.state = "E"
		}
		return answer{code: "READONLY"}
	case e.busy >= g.options.Slots:
		return answer{code: "BUSY"}
	}
	e.busy++
	g.mu.Unlock()
	time.Sleep(g.options.Work)
	g.mu.Lock()
	e.busy--
	if s.lostLead(word, writes) {
		s.state = "E"
		return answer{code: "READONLY"}
	}
	visible := e.visible()
	g.runs = append(g.runs, Run{
		Request: id, Endpoint: e.id, Conn: s.number, InTransaction: s.state == "T", Settings: fmt.Sprint(sortedPairs(s.settings)), Text: text,
		Log: e.last(visible), Started: time.Now(),
	})
	a := s.effect(id, word, rest, writes, visible)
	if e.lose > 0 {
		e.lose--
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

// lostLead reports whether the statement needs a lead that the endpoint does not have.
func (s *session) lostLead(word string, writes bool) bool {
	plain := s.state == "T" && !s.reads
	if word == "COMMIT" && len(s.requests) == 0 {
		return false
	}
	return (writes || plain) && !s.endpoint.leads()
}

// effect runs a statement that reads what is visible.
func (s *session) effect(id, word, rest string, writes bool, visible []Record) answer {
	done := s.endpoint.id + "." + id
	switch {
	case word == "COMMIT":
		requests, data := s.requests, s.data
		s.finish()
		if len(requests) == 0 {
			return answer{done: done}
		}
		return s.commit(done, append(requests, id), data)
	case writes:
		item, value, _ := strings.Cut(rest, " ")
		if s.state == "T" {
			if s.data == nil {
				s.data = make(map[string]string)
			}
			s.requests = append(s.requests, id)
			s.data[item] = value
			return answer{done: done}
		}
		return s.commit(done, []string{id}, map[string]string{item: value})
	default:
		return answer{rows: []string{s.value(rest, visible)}, done: done}
	}
}

func (s *session) value(item string, visible []Record) string {
	if value, ok := s.data[item]; ok {
		return value
	}
	for i := len(visible) - 1; i >= 0; i-- {
		if value, ok := visible[i].Data[item]; ok {
			return value
		}
	}
	return ""
}

// commit appends a record and waits until enough replicas have received it; the group is locked.
func (s *session) commit(done string, requests []string, data map[string]string) answer {
	e, g := s.endpoint, s.endpoint.group
	record := Record{Position: Position{Term: g.term, Number: e.end().Number + 1}, Requests: requests, Data: maps.Clone(data)}
	e.log = append(slices.Clone(e.log), record)
	g.replicate()
	for g.received(record.Position, e) < g.options.SyncReplicas {
		if !e.alive {
			return answer{lost: true}
		}
		if !e.leads() || e.term != record.Position.Term {
			return answer{code: "READONLY"}
		}
		g.changed.Wait()
	}
	return answer{done: done}
}
