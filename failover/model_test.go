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

// The model explores every interleaving of a small group and two coordinators that run the real Ballot. A command may be
// executed at any time after it was sent, or never; its answer may arrive at any later time, or never; a coordinator may
// pause between any two steps, for a time or for ever. Three reductions keep the state space small without hiding an
// unsafe run: a command that changes nothing is not repeated, since its answer could only repeat the first or end the
// ballot; a coordinator never times out, since it may pause for ever instead; and answers that can no longer affect a
// ballot are not sent.

const (
	modelMembers = 3
	modelBallots = 2
	firstTerm    = 1
	noUpstream   = -1
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
	case m.upstream != noUpstream:
		role = endpoint.Replica
	}
	return endpoint.Status{Role: role, Fenced: m.fenced, Log: m.position(), Applied: m.position()}
}

type modelWrite struct {
	// stage: 0 not started, 1 admitted, 2 committed, 3 position read, 4 acknowledged, 5 failed
	stage    int8
	primary  int8
	admitted endpoint.LogTerm
	entry    modelEntry
	position endpoint.Position
}

type modelState struct {
	members [modelMembers]modelMember
	ballots [modelBallots]Ballot
	started [modelBallots]bool
	issued  [modelBallots][]Action
	replies [modelBallots][modelMembers]*endpoint.Status
	// reported is the last status of each member that the primary of a term has learned.
	reported [modelBallots + 2][modelMembers]endpoint.Status
	writes   []modelWrite
}

// mutation breaks one safety rule, to show that the model detects what the rule prevents.
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
	s.members[0].leading, s.members[0].upstream = true, noUpstream
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
	for c := range s.issued {
		s.issued[c] = slices.Clone(s.issued[c])
	}
	s.writes = slices.Clone(s.writes)
	return s
}

// key returns an encoding of the state that leaves out what can no longer have an effect, so that equivalent states are
// visited once.
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
		b = append(b, byte(ballot.phase), byte(len(s.issued[c])))
		b = append(b, ballot.primary...)
		if ballot.phase == Fencing {
			for _, name := range memberNames {
				for _, r := range ballot.promises {
					if r.Endpoint == name {
						b = append(b, name[0])
						position(r.Status.Log)
					}
				}
			}
		}
		b = append(b, byte(len(ballot.followers)))
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
		b = append(b, byte(w.stage), byte(w.primary), byte(w.admitted), byte(w.entry.term))
		position(w.position)
	}
	for _, reports := range s.reported {
		for _, r := range reports {
			b = append(b, byte(r.Fenced))
			position(r.Log)
		}
	}
	return string(b)
}

// next returns every state reachable in one step.
func (s modelState) next(mut mutation) []modelState {
	var out []modelState
	for c := range s.ballots {
		out = append(out, s.stepCoordinator(c, mut)...)
	}
	for i := range s.members {
		out = append(out, s.stepReplication(i)...)
	}
	for w := range s.writes {
		out = append(out, s.stepWrite(w, mut)...)
	}
	return append(out, s.stepReport(mut)...)
}

func (s modelState) stepCoordinator(c int, mut mutation) []modelState {
	var out []modelState
	if !s.started[c] {
		n := s.clone()
		n.started[c] = true
		n.issued[c] = n.ballots[c].Start()
		return append(out, n)
	}
	if s.ballots[c].phase >= Done {
		// Commands sent earlier may still be executed, but their answers are ignored.
		for _, a := range s.issued[c] {
			n := s.clone()
			if n.execute(c, a, mut) {
				out = append(out, n)
			}
		}
		return out
	}
	for _, a := range s.issued[c] {
		n := s.clone()
		if !n.execute(c, a, mut) {
			continue
		}
		m := int(a.Endpoint[0] - '0')
		if s.answerMatters(c, a) {
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
		n.deliver(c, Reply{Endpoint: memberNames[m], Status: *r}, mut)
		out = append(out, n)
	}
	return out
}

// answerMatters reports whether an answer to the command can still affect the coordinator's ballot.
func (s modelState) answerMatters(c int, a Action) bool {
	switch s.ballots[c].phase {
	case Fencing:
		return a.Command == pool.CommandFence
	case Promoting:
		return a.Command == pool.CommandPromote
	default:
		return false
	}
}

func (s *modelState) deliver(c int, e Event, mut mutation) {
	before := s.ballots[c]
	after, actions := before.Apply(e)
	if mut.ballot != nil {
		changed := mut.ballot(before, after)
		if changed.primary != after.primary {
			actions = []Action{{Command: pool.CommandPromote, Endpoint: changed.primary}}
		}
		after = changed
	}
	s.ballots[c] = after
	s.issued[c] = append(s.issued[c], actions...)
	if after.phase != before.phase {
		s.replies[c] = [modelMembers]*endpoint.Status{}
	}
}

// execute applies a command at its endpoint and reports whether that changed anything.
func (s *modelState) execute(c int, a Action, mut mutation) bool {
	m := &s.members[a.Endpoint[0]-'0']
	term := s.ballots[c].term
	switch a.Command {
	case pool.CommandFence:
		if term <= m.fenced {
			return false
		}
		m.fenced, m.leading, m.upstream = term, false, noUpstream
	case pool.CommandPromote:
		if m.fenced != term || m.leading {
			return false
		}
		m.leading, m.upstream = true, noUpstream
		m.log = append(m.log, modelEntry{term: endpoint.LogTerm(term)})
	default:
		if term < m.fenced || m.fenced == term && m.upstream == int8(a.Primary[0]-'0') {
			return false
		}
		m.fenced, m.leading, m.upstream = term, false, int8(a.Primary[0]-'0')
	}
	return true
}

// stepReplication truncates a member's log where it diverges from its upstream's and appends one more record.
func (s modelState) stepReplication(i int) []modelState {
	m := s.members[i]
	if m.upstream == noUpstream {
		return nil
	}
	upstream := s.members[m.upstream]
	if !upstream.leading || upstream.fenced != m.fenced || slices.Equal(upstream.log, m.log) {
		return nil
	}
	n := s.clone()
	prefix := 0
	for prefix < min(len(upstream.log), len(m.log)) && upstream.log[prefix] == m.log[prefix] {
		prefix++
	}
	n.members[i].log = slices.Clone(m.log[:prefix])
	if prefix < len(upstream.log) {
		n.members[i].log = append(n.members[i].log, upstream.log[prefix])
	}
	return []modelState{n}
}

func (s modelState) stepWrite(w int, mut mutation) []modelState {
	write := s.writes[w]
	var out []modelState
	switch write.stage {
	case 0:
		if w > 0 && s.writes[w-1].stage < 2 {
			return nil
		}
		for i, m := range s.members {
			if m.status().Leads() {
				n := s.clone()
				n.writes[w] = modelWrite{stage: 1, primary: int8(i), admitted: m.position().Term}
				out = append(out, n)
			}
		}
	case 1:
		n := s.clone()
		m := &n.members[write.primary]
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
		position := n.members[write.primary].position()
		n.writes[w].stage, n.writes[w].position = 3, position
		if position.Term != write.admitted && !mut.ackAnyTerm {
			n.writes[w].stage = 5
		}
		out = append(out, n)
	case 3:
		if s.confirmed(write, mut) {
			n := s.clone()
			n.writes[w].stage = 4
			out = append(out, n)
		}
	}
	return out
}

func (s modelState) confirmed(w modelWrite, mut mutation) bool {
	if mut.ackLocally {
		return true
	}
	var reports []endpoint.Status
	for i, r := range s.reported[w.position.Term] {
		if i == int(w.primary) {
			continue
		}
		if mut.ignoreFence {
			r.Fenced = endpoint.FencedTerm(w.position.Term)
		}
		if mut.ignoreTerm {
			r.Fenced, r.Log.Term = endpoint.FencedTerm(w.position.Term), w.position.Term
		}
		reports = append(reports, r)
	}
	return session.Confirmed(reports, modelMembers, w.position.Term).Covers(w.position)
}

// stepReport lets a primary that waits for a confirmation learn a member's log position, which it keeps.
func (s modelState) stepReport(mut mutation) []modelState {
	var out []modelState
	for _, w := range s.writes {
		if w.stage != 3 {
			continue
		}
		for i, m := range s.members {
			report := endpoint.Status{Fenced: m.fenced, Log: m.position()}
			if report.Log.Term != w.position.Term && !mut.ignoreTerm || i == int(w.primary) {
				continue
			}
			if s.reported[w.position.Term][i] != report {
				n := s.clone()
				n.reported[w.position.Term][i] = report
				out = append(out, n)
			}
		}
	}
	return out
}

// violation returns a description of the safety property that the state violates, or "" if it violates none.
func (s modelState) violation() string {
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

// node is a visited state and its predecessor.
type node struct {
	state  modelState
	parent *node
}

// trace returns the path of states to a node, one per line.
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
		fmt.Fprintf(&b, "ballot %d %s %s; ", ballot.term, ballot.phase, ballot.primary)
	}
	fmt.Fprintf(&b, "writes %+v reported %v\n", n.state.writes, n.state.reported)
	return b.String()
}

// exploration is the outcome of visiting every reachable state.
type exploration struct {
	states    int
	violation string
	trace     string
}

const stateLimitExceeded = "state limit exceeded"

// explore visits every reachable state, until one violates safety or more than limit states are seen.
func explore(start modelState, mut mutation, limit int) exploration {
	seen := map[string]struct{}{start.key(): {}}
	frontier := []*node{{state: start}}
	for len(frontier) > 0 {
		var nextFrontier []*node
		for _, current := range frontier {
			if violation := current.state.violation(); violation != "" {
				return exploration{states: len(seen), violation: violation, trace: current.trace()}
			}
			for _, n := range current.state.next(mut) {
				key := n.key()
				if _, ok := seen[key]; ok {
					continue
				}
				seen[key] = struct{}{}
				nextFrontier = append(nextFrontier, &node{state: n, parent: current})
			}
			if len(seen) > limit {
				return exploration{states: len(seen), violation: stateLimitExceeded}
			}
		}
		frontier = nextFrontier
	}
	return exploration{states: len(seen)}
}

const modelStateLimit = 6_000_000

func TestBallotModel(t *testing.T) {
	found := explore(newModel(1), mutation{}, modelStateLimit)
	t.Logf("visited %d states", found.states)
	if found.violation != "" {
		t.Errorf("after %d states: %s\n%s", found.states, found.violation, found.trace)
	}
}

// TestBallotModelMutated checks that the model finds a safety violation when a rule is broken.
func TestBallotModelMutated(t *testing.T) {
	tests := map[string]mutation{
		"acknowledged by the primary alone": {ackLocally: true},
		"replica's terms ignored":           {ignoreTerm: true},
		"replica's promise ignored":         {ignoreFence: true},
		"position of another term accepted": {ackAnyTerm: true},
		"promoted after one promise": {ballot: func(before, after Ballot) Ballot {
			if after.phase == Fencing && len(after.promises) == 1 {
				after.phase, after.primary = Promoting, after.promises[0].Endpoint
			}
			return after
		}},
		"lowest log promoted": {ballot: func(before, after Ballot) Ballot {
			if before.phase == Fencing && after.phase == Promoting {
				after.primary = slices.MinFunc(after.promises, func(a, b Reply) int {
					return a.Status.Log.Compare(b.Status.Log)
				}).Endpoint
			}
			return after
		}},
	}
	for name, mut := range tests {
		t.Run(name, func(t *testing.T) {
			found := explore(newModel(1), mut, modelStateLimit)
			if found.violation == "" || found.violation == stateLimitExceeded {
				t.Errorf("visited %d states and found %q, want a safety violation", found.states, found.violation)
			}
			t.Logf("after %d states: %s", found.states, found.violation)
		})
	}
}
