package failover

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"siskincove/endpoint"
	"siskincove/pool"
	"siskincove/session"
)

// The model explores every interleaving of a small group and two coordinators that run the very Ballot of this package.
// An order that was given may be carried out at any later time, or never; its answer may arrive at any later time, or
// never; a coordinator may pause between any two steps, for ever or until it is resumed. Three reductions keep the space
// small and lose no unsafe run: an order that changes nothing is not repeated, since its answer could only repeat the
// first one or end the ballot; a coordinator never times out, since it may pause for ever instead; and answers that can
// no longer move a ballot are not sent.

const (
	modelMembers = 3
	modelBallots = 2
	firstTerm    = 1
	nobody       = -1
)

type modelEntry struct {
	term   endpoint.LogTerm
	serial int8
}

type modelMember struct {
	fenced   endpoint.FencedTerm
	leading  bool
	upstream int8
	log      []modelEntry
}

func (m modelMember) position() endpoint.Position {
	if len(m.log) == 0 {
		return endpoint.Position{}
	}
	return endpoint.Position{Term: m.log[len(m.log)-1].term, Offset: uint64(len(m.log))}
}

func (m modelMember) status() endpoint.Status {
	role := endpoint.Stopped
	switch {
	case m.leading:
		role = endpoint.Primary
	case m.upstream != nobody:
		role = endpoint.Replica
	}
	return endpoint.Status{Role: role, Fenced: m.fenced, Log: m.position(), Applied: m.position()}
}

type modelWrite struct {
	// stage: 0 not begun, 1 admitted, 2 committed, 3 position read, 4 acknowledged, 5 given up
	stage    int8
	at       int8
	admitted endpoint.LogTerm
	entry    modelEntry
	position endpoint.Position
}

type modelState struct {
	members [modelMembers]modelMember
	ballots [modelBallots]Ballot
	started [modelBallots]bool
	given   [modelBallots][]Action
	replies [modelBallots][modelMembers]*endpoint.Status
	// held is what the primary of a term has last heard of each member.
	held   [modelBallots + 2][modelMembers]endpoint.Status
	writes []modelWrite
}

// mutation changes one rule, to show that the model finds what the rule is for.
type mutation struct {
	ballot      func(before, after Ballot) Ballot
	ignoreTerm  bool
	ackLocally  bool
	ackAnyTerm  bool
	ignoreFence bool
}

var memberNames = []string{"0", "1", "2"}

func newModel(writes int) modelState {
	var s modelState
	for i := range s.members {
		s.members[i] = modelMember{fenced: firstTerm, upstream: 0, log: []modelEntry{{term: firstTerm}}}
	}
	s.members[0].leading, s.members[0].upstream = true, nobody
	for c := range s.ballots {
		s.ballots[c] = NewBallot(endpoint.FencedTerm(firstTerm+1+c), memberNames, nil)
	}
	s.writes = make([]modelWrite, writes)
	return s
}

func (s modelState) clone() modelState {
	for i := range s.members {
		s.members[i].log = slices.Clone(s.members[i].log)
	}
	for c := range s.given {
		s.given[c] = slices.Clone(s.given[c])
	}
	s.writes = slices.Clone(s.writes)
	return s
}

// key returns the state's bytes; what no longer has an effect is left out, so that equal states meet.
func (s modelState) key() string {
	b := make([]byte, 0, 96)
	position := func(p endpoint.Position) { b = append(b, byte(p.Term), byte(p.Offset)) }
	for _, m := range s.members {
		flag := byte(0)
		if m.leading {
			flag = 1
		}
		b = append(b, byte(m.fenced), flag, byte(m.upstream), byte(len(m.log)))
		for _, e := range m.log {
			b = append(b, byte(e.term)<<4|byte(e.serial))
		}
	}
	for c, ballot := range s.ballots {
		b = append(b, byte(ballot.phase), byte(len(s.given[c])))
		b = append(b, ballot.leader...)
		if ballot.phase == Fencing {
			for _, name := range memberNames {
				for _, r := range ballot.promised {
					if r.Endpoint == name {
						b = append(b, name[0])
						position(r.Status.Log)
					}
				}
			}
		}
		b = append(b, byte(len(ballot.follow)))
		for _, r := range s.replies[c] {
			if r == nil {
				b = append(b, 0xff)
				continue
			}
			b = append(b, byte(r.Role), byte(r.Fenced))
			position(r.Log)
		}
	}
	for _, w := range s.writes {
		b = append(b, byte(w.stage), byte(w.at), byte(w.admitted), byte(w.entry.term))
		position(w.position)
	}
	for _, held := range s.held {
		for _, r := range held {
			b = append(b, byte(r.Fenced))
			position(r.Log)
		}
	}
	return string(b)
}

// next returns every state that one step may lead to.
func (s modelState) next(mu mutation) []modelState {
	var out []modelState
	for c := range s.ballots {
		out = append(out, s.coordinate(c, mu)...)
	}
	for i := range s.members {
		out = append(out, s.replicate(i)...)
	}
	for w := range s.writes {
		out = append(out, s.write(w, mu)...)
	}
	return append(out, s.observe(mu)...)
}

func (s modelState) coordinate(c int, mu mutation) []modelState {
	var out []modelState
	if !s.started[c] {
		n := s.clone()
		n.started[c] = true
		n.given[c] = n.ballots[c].Start()
		return append(out, n)
	}
	if s.ballots[c].phase >= Done {
		// Orders given before may still be carried out, but nobody hears the answers.
		for _, a := range s.given[c] {
			n := s.clone()
			if n.obey(c, a, mu) {
				out = append(out, n)
			}
		}
		return out
	}
	for _, a := range s.given[c] {
		n := s.clone()
		if !n.obey(c, a, mu) {
			continue
		}
		m := int(a.Endpoint[0] - '0')
		if s.hears(c, a) {
			status := n.members[m].status()
			n.replies[c][m] = &status
		}
		out = append(out, n)
	}
	for m, r := range s.replies[c] {
		if r == nil {
			continue
		}
		n := s.clone()
		n.replies[c][m] = nil
		n.take(c, Reply{Endpoint: memberNames[m], Status: *r}, mu)
		out = append(out, n)
	}
	return out
}

// hears reports whether an answer to the order can still matter to the coordinator.
func (s modelState) hears(c int, a Action) bool {
	switch s.ballots[c].phase {
	case Fencing:
		return a.Order == pool.OrderFence
	case Promoting:
		return a.Order == pool.OrderPromote
	default:
		return false
	}
}

func (s *modelState) take(c int, e Event, mu mutation) {
	before := s.ballots[c]
	after, actions := before.Apply(e)
	if mu.ballot != nil {
		changed := mu.ballot(before, after)
		if changed.leader != after.leader {
			actions = []Action{{Order: pool.OrderPromote, Endpoint: changed.leader}}
		}
		after = changed
	}
	s.ballots[c] = after
	s.given[c] = append(s.given[c], actions...)
	if after.phase != before.phase {
		s.replies[c] = [modelMembers]*endpoint.Status{}
	}
}

// obey carries out an order at its endpoint and reports whether that changed anything.
func (s *modelState) obey(c int, a Action, mu mutation) bool {
	m := &s.members[a.Endpoint[0]-'0']
	term := s.ballots[c].term
	switch a.Order {
	case pool.OrderFence:
		if term <= m.fenced {
			return false
		}
		m.fenced, m.leading, m.upstream = term, false, nobody
	case pool.OrderPromote:
		if m.fenced != term || m.leading {
			return false
		}
		m.leading, m.upstream = true, nobody
		m.log = append(m.log, modelEntry{term: endpoint.LogTerm(term)})
	default:
		if term < m.fenced || m.fenced == term && m.upstream == int8(a.Leader[0]-'0') {
			return false
		}
		m.fenced, m.leading, m.upstream = term, false, int8(a.Leader[0]-'0')
	}
	return true
}

// replicate lets a member drop what diverges from its upstream and take one more record.
func (s modelState) replicate(i int) []modelState {
	m := s.members[i]
	if m.upstream == nobody {
		return nil
	}
	up := s.members[m.upstream]
	if !up.leading || up.fenced != m.fenced || slices.Equal(up.log, m.log) {
		return nil
	}
	n := s.clone()
	prefix := 0
	for prefix < min(len(up.log), len(m.log)) && up.log[prefix] == m.log[prefix] {
		prefix++
	}
	n.members[i].log = slices.Clone(m.log[:prefix])
	if prefix < len(up.log) {
		n.members[i].log = append(n.members[i].log, up.log[prefix])
	}
	return []modelState{n}
}

func (s modelState) write(w int, mu mutation) []modelState {
	now := s.writes[w]
	var out []modelState
	switch now.stage {
	case 0:
		if w > 0 && s.writes[w-1].stage < 2 {
			return nil
		}
		for i, m := range s.members {
			if m.status().Leads() {
				n := s.clone()
				n.writes[w] = modelWrite{stage: 1, at: int8(i), admitted: m.position().Term}
				out = append(out, n)
			}
		}
	case 1:
		n := s.clone()
		m := &n.members[now.at]
		if !m.leading {
			n.writes[w].stage = 5
			return []modelState{n}
		}
		entry := modelEntry{term: endpoint.LogTerm(m.fenced), serial: int8(w + 1)}
		m.log = append(m.log, entry)
		n.writes[w].stage, n.writes[w].entry = 2, entry
		out = append(out, n)
	case 2:
		n := s.clone()
		position := n.members[now.at].position()
		n.writes[w].stage, n.writes[w].position = 3, position
		if position.Term != now.admitted && !mu.ackAnyTerm {
			n.writes[w].stage = 5
		}
		out = append(out, n)
	case 3:
		if s.confirmed(now, mu) {
			n := s.clone()
			n.writes[w].stage = 4
			out = append(out, n)
		}
	}
	return out
}

func (s modelState) confirmed(w modelWrite, mu mutation) bool {
	if mu.ackLocally {
		return true
	}
	var reports []endpoint.Status
	for i, r := range s.held[w.position.Term] {
		if i == int(w.at) {
			continue
		}
		if mu.ignoreFence {
			r.Fenced = endpoint.FencedTerm(w.position.Term)
		}
		if mu.ignoreTerm {
			r.Fenced, r.Log.Term = endpoint.FencedTerm(w.position.Term), w.position.Term
		}
		reports = append(reports, r)
	}
	return session.Confirmed(reports, modelMembers, w.position.Term).Covers(w.position)
}

// observe lets the primary of a term that waits for a confirmation learn a member's log; what it learned stays.
func (s modelState) observe(mu mutation) []modelState {
	var out []modelState
	for _, w := range s.writes {
		if w.stage != 3 {
			continue
		}
		for i, m := range s.members {
			report := endpoint.Status{Fenced: m.fenced, Log: m.position()}
			if report.Log.Term != w.position.Term && !mu.ignoreTerm || i == int(w.at) {
				continue
			}
			if s.held[w.position.Term][i] != report {
				n := s.clone()
				n.held[w.position.Term][i] = report
				out = append(out, n)
			}
		}
	}
	return out
}

// broken returns which promise the state breaks, empty when none.
func (s modelState) broken() string {
	leaders := make(map[endpoint.FencedTerm]int)
	for i, m := range s.members {
		if !m.leading {
			continue
		}
		if other, ok := leaders[m.fenced]; ok {
			return fmt.Sprintf("members %d and %d lead under term %d", other, i, m.fenced)
		}
		leaders[m.fenced] = i
		for w, write := range s.writes {
			if write.stage == 4 && write.entry.term < endpoint.LogTerm(m.fenced) && !slices.Contains(m.log, write.entry) {
				return fmt.Sprintf("acknowledged write %d is missing at member %d, which leads under term %d", w, i, m.fenced)
			}
		}
	}
	return ""
}

// node is a visited state with the one that it was reached from.
type node struct {
	state  modelState
	parent *node
}

// trace returns the states that lead to a node, a line each.
func (n *node) trace() string {
	if n == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(n.parent.trace())
	for i, m := range n.state.members {
		fmt.Fprintf(&b, "%d: term %d leads %t follows %d log %v; ", i, m.fenced, m.leading, m.upstream, m.log)
	}
	for _, ballot := range n.state.ballots {
		fmt.Fprintf(&b, "ballot %d %s %s; ", ballot.term, ballot.phase, ballot.leader)
	}
	fmt.Fprintf(&b, "writes %+v held %v\n", n.state.writes, n.state.held)
	return b.String()
}

// exploration is the outcome of visiting every reachable state.
type exploration struct {
	states int
	broken string
	trace  string
}

const boundExceeded = "bound exceeded"

// explore visits every reachable state up to a bound, or until a promise is broken.
func explore(start modelState, mu mutation, most int) exploration {
	seen := map[string]struct{}{start.key(): {}}
	frontier := []*node{{state: start}}
	for len(frontier) > 0 {
		var following []*node
		for _, at := range frontier {
			if text := at.state.broken(); text != "" {
				return exploration{states: len(seen), broken: text, trace: at.trace()}
			}
			for _, n := range at.state.next(mu) {
				key := n.key()
				if _, ok := seen[key]; ok {
					continue
				}
				seen[key] = struct{}{}
				following = append(following, &node{state: n, parent: at})
			}
			if len(seen) > most {
				return exploration{states: len(seen), broken: boundExceeded}
			}
		}
		frontier = following
	}
	return exploration{states: len(seen)}
}

const modelStates = 6_000_000

func TestBallotModel(t *testing.T) {
	found := explore(newModel(1), mutation{}, modelStates)
	t.Logf("visited %d states", found.states)
	if found.broken != "" {
		t.Errorf("after %d states: %s\n%s", found.states, found.broken, found.trace)
	}
}

// TestBallotModelMutated shows that the model finds a broken promise when a rule is changed.
func TestBallotModelMutated(t *testing.T) {
	tests := map[string]mutation{
		"acknowledged by the primary alone": {ackLocally: true},
		"replica's terms ignored":           {ignoreTerm: true},
		"replica's promise ignored":         {ignoreFence: true},
		"position of another term taken":    {ackAnyTerm: true},
		"promoted after one promise": {ballot: func(before, after Ballot) Ballot {
			if after.phase == Fencing && len(after.promised) == 1 {
				after.phase, after.leader = Promoting, after.promised[0].Endpoint
			}
			return after
		}},
		"lowest log promoted": {ballot: func(before, after Ballot) Ballot {
			if before.phase == Fencing && after.phase == Promoting {
				after.leader = slices.MinFunc(after.promised, func(a, b Reply) int {
					return a.Status.Log.Compare(b.Status.Log)
				}).Endpoint
			}
			return after
		}},
	}
	for name, mu := range tests {
		t.Run(name, func(t *testing.T) {
			found := explore(newModel(1), mu, modelStates)
			if found.broken == "" || found.broken == boundExceeded {
				t.Errorf("visited %d states and found %q, want a broken promise", found.states, found.broken)
			}
			t.Logf("after %d states: %s", found.states, found.broken)
		})
	}
}
