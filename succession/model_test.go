package succession

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"siskincove/endpoint"
)

// The model runs Succession itself against a group of three endpoints whose primary may crash and return, a platform that
// may carry out an order late, and a second coordinator. Each test bounds which of these there are, so that every order
// of events can be explored.
//
// Of time it assumes what the coordinators' bounds give: a succession that starts beside the holds of another does so
// only when these count as forgotten, by when the other gives no first order any more.
const (
	settleFence = 100
	// modelStates is more than the model has; a change that makes it grow beyond is to be looked at.
	modelStates = 2_500_000
)

type modelEndpoint struct {
	alive bool
	log   string
	held  endpoint.FencedTerm
}

type modelOrder struct {
	fence  uint64
	target int
}

type modelCoordinator struct {
	started bool
	// expired successions give no first order any more.
	expired bool
	s       Succession
	todo    string
}

// world is a state of the model; it is comparable by its text.
type world struct {
	ends     [3]modelEndpoint
	leader   int
	term     byte
	commits  int
	acked    string
	fence    uint64
	late     []modelOrder
	coords   [2]modelCoordinator
	crashed  bool
	returned bool
	settled  bool
	trace    string
}

// key is a text that differs for worlds that behave differently.
func (w world) key() string {
	out := make([]byte, 0, 128)
	flag := func(b bool) {
		if b {
			out = append(out, '1')
			return
		}
		out = append(out, '0')
	}
	number := func(n uint64) { out = append(strconv.AppendUint(out, n, 36), ' ') }
	text := func(s string) { out = append(append(out, s...), ' ') }
	for _, e := range w.ends {
		flag(e.alive)
		text(e.log)
		number(uint64(e.held))
	}
	number(uint64(w.leader + 1))
	number(uint64(w.term))
	number(uint64(w.commits))
	text(w.acked)
	number(w.fence)
	for _, o := range w.late {
		number(o.fence)
		number(uint64(o.target))
	}
	flag(w.crashed)
	flag(w.returned)
	flag(w.settled)
	for _, c := range w.coords {
		flag(c.started)
		flag(c.expired)
		text(c.todo)
		number(uint64(c.s.plan.Term))
		text(c.s.plan.OldPrimary)
		number(uint64(len(c.s.plan.Replicas)))
		number(uint64(c.s.plan.Floor.Term))
		flag(c.s.plan.Floor.Known)
		text(c.s.plan.Floor.Start.String())
		flag(c.s.plan.Contested)
		number(uint64(c.s.phase))
		text(c.s.target)
		flag(c.s.ordered)
		flag(c.s.unknown)
		for _, h := range c.s.held {
			text(h.replica.Name + h.log.String())
		}
		text(strings.Join(c.s.confirmed, ""))
	}
	return string(out)
}

func (w world) with(what string) world {
	w.trace += what + "\n"
	w.late = append([]modelOrder(nil), w.late...)
	return w
}

var endNames = [3]string{"p", "a", "b"}

func endIndex(name string) int { return strings.Index("pab", name) }

// position is the place of a log's last record; each record is two bytes, its term and its name.
func logPosition(log string) endpoint.Position {
	if log == "" {
		return endpoint.Position{}
	}
	return endpoint.Position{Term: endpoint.LogTerm(log[len(log)-2]), Offset: uint64(len(log) / 2)}
}

func (w world) standing(i int) endpoint.Standing {
	role := endpoint.Replica
	if w.leader == i {
		role = endpoint.Primary
	}
	return endpoint.Standing{Role: role, Term: endpoint.FencedTerm(w.term), Log: logPosition(w.ends[i].log), Held: w.ends[i].held}
}

// model explores every order of events and reports the first world that loses an acknowledged commit.
type model struct {
	t *testing.T
	// release lets a coordinator release foreign holds without settling first, a mutation that must be caught.
	release bool
	// gone lets endpoints that are down be left out of a plan, as once they are no longer registered.
	gone bool
	// uncounted leaves a replica out of the plan, another mutation.
	uncounted bool
	// commits is how many there may be, late how many orders may be late, coordinators how many there are; crash lets the primary crash and
	// return, and settle lets forgotten holds be released.
	commits      int
	late         int
	coordinators int
	crash        bool
	settle       bool
	seen         map[string]bool
	queue        []world
	lost         string
	promoted     int
}

func (m *model) push(w world) {
	key := w.key()
	if !m.seen[key] {
		m.seen[key] = true
		m.queue = append(m.queue, w)
	}
}

func (m *model) run() {
	start := world{leader: 0, term: 1}
	for i := range start.ends {
		start.ends[i].alive = true
	}
	m.seen = make(map[string]bool)
	m.push(start)
	for len(m.queue) > 0 && m.lost == "" && len(m.seen) < modelStates {
		w := m.queue[len(m.queue)-1]
		m.queue = m.queue[:len(m.queue)-1]
		m.group(w)
		for c := range m.coordinators {
			m.coordinator(w, c)
		}
		m.platform(w)
	}
}

// group lets the primary commit, replicate, crash and return.
func (m *model) group(w world) {
	if w.leader < 0 {
		return
	}
	l := w.leader
	if w.ends[l].alive && w.commits < m.commits {
		n := w.with("commit")
		n.ends[l].log += string([]byte{w.term, byte('x' + w.commits)})
		n.commits++
		m.push(n)
	}
	for i := range w.ends {
		if i != l && w.ends[l].alive && w.ends[i].alive && w.ends[i].held == 0 && w.ends[i].log != w.ends[l].log {
			n := w.with("replicate to " + endNames[i])
			n.ends[i].log = w.ends[l].log
			// What a replica has received is acknowledged at once.
			for k := 0; k < len(n.ends[l].log); k += 2 {
				if name := n.ends[l].log[k+1 : k+2]; !strings.Contains(n.acked, name) {
					n.acked += name
				}
			}
			m.push(n)
		}
	}
	if m.crash && !w.crashed {
		n := w.with("crash " + endNames[l])
		n.ends[l].alive, n.crashed = false, true
		m.push(n)
	}
	for i := range w.ends {
		if !w.ends[i].alive && !w.returned {
			n := w.with("return " + endNames[i])
			n.ends[i].alive, n.ends[i].held, n.returned = true, 0, true
			m.push(n)
		}
	}
}

// coordinator lets one coordinator start, carry out an action, ask its target or lose patience.
func (m *model) coordinator(w world, c int) {
	k := w.coords[c]
	if !k.started {
		m.start(w, c)
		return
	}
	for i, todo := range strings.Fields(k.todo) {
		if k.expired && Command(todo[0]-'0') == Promote && !k.s.unknown {
			continue
		}
		n := w.with(fmt.Sprintf("%d: %s", c, todo))
		rest := append(strings.Fields(k.todo)[:i:i], strings.Fields(k.todo)[i+1:]...)
		n.coords[c].todo = strings.Join(rest, " ")
		m.act(n, c, todo)
	}
	if k.s.Phase() == Promoting {
		if i := endIndex(k.s.Target()); w.ends[i].alive {
			m.take(w.with(fmt.Sprintf("%d: asks %s", c, k.s.Target())), c, Reply{Endpoint: k.s.Target(), Standing: w.standing(i)})
		}
	}
	if k.s.Phase() < Done {
		n := w.with(fmt.Sprintf("%d: timeout", c))
		n.coords[c].todo = ""
		m.take(n, c, Timeout{})
	}
}

func (m *model) start(w world, c int) {
	lost := w.leader
	if lost < 0 {
		return
	}
	plan := Plan{
		Term: holdTerm(endpoint.FencedTerm(w.term), uint64(c+1)), Fence: uint64(c + 1), OldPrimary: endNames[lost], Acknowledge: 1,
	}
	for i, e := range w.ends {
		if i != lost && (!m.uncounted || i != 2) && (!m.gone || e.alive) {
			plan.Replicas = append(plan.Replicas, Replica{Name: endNames[i]})
		}
		if e.held != 0 {
			plan.Contested = true
			plan.Term = holdTerm(max(plan.Term, e.held), plan.Fence)
		}
	}
	plan.Floor = Floor{Term: endpoint.FencedTerm(w.term)}
	if log := logPosition(w.ends[lost].log); w.ends[lost].alive && byte(log.Term) < w.term {
		plan.Floor.Start, plan.Floor.Known = log, true
	}
	plan.Answers = w.ends[lost].alive
	if len(plan.Replicas) == 0 {
		return
	}
	n := w.with(fmt.Sprintf("%d: starts", c))
	if plan.Contested {
		n.coords[1-c].expired = true
	}
	n.coords[c].started = true
	n.coords[c].s = New(plan)
	n.coords[c].todo = todoOf(n.coords[c].s.Start())
	m.push(n)
}

func todoOf(actions []Action) string {
	var out []string
	for _, a := range actions {
		out = append(out, fmt.Sprintf("%d%s", a.Command, a.Endpoint))
	}
	return strings.Join(out, " ")
}

// take feeds an event to a coordinator's succession.
func (m *model) take(n world, c int, e Event) {
	next, actions := n.coords[c].s.Handle(e)
	n.coords[c].s = next
	if len(actions) > 0 {
		n.coords[c].todo = strings.TrimSpace(n.coords[c].todo + " " + todoOf(actions))
	}
	m.push(n)
}

func (m *model) act(n world, c int, todo string) {
	order, name := Command(todo[0]-'0'), todo[1:]
	i := endIndex(name)
	plan := n.coords[c].s.Plan()
	switch order {
	case Hold:
		if !n.ends[i].alive {
			return
		}
		if i != n.leader && (n.ends[i].held == 0 || plan.Contested && plan.Term > n.ends[i].held) {
			n.ends[i].held = plan.Term
		}
		m.take(n, c, Reply{Endpoint: name, Standing: n.standing(i)})
	case Demote:
		if n.ends[i].alive {
			if n.leader == i {
				n.leader = -1
			}
			m.take(n, c, Reply{Endpoint: name, Standing: n.standing(i)})
		}
	case Confirm:
		if n.ends[i].alive {
			m.take(n, c, Reply{Endpoint: name, Confirms: true, Standing: n.standing(i)})
		}
	case Resume:
		if n.ends[i].alive && n.ends[i].held == plan.Term {
			n.ends[i].held = 0
		}
		m.push(n)
	case Promote:
		done, outcome := m.carryOut(n, modelOrder{fence: plan.Fence, target: i})
		m.take(done, c, PromotionResult{Outcome: outcome})
		if len(n.late) < m.late {
			n.late = append(n.late, modelOrder{fence: plan.Fence, target: i})
			m.take(n, c, PromotionResult{Outcome: Unknown})
		}
	}
}

// carryOut is the platform's promotion: the fencing token is checked when the order takes effect.
func (m *model) carryOut(n world, o modelOrder) (world, Outcome) {
	if o.fence < n.fence || !n.ends[o.target].alive {
		return n, Refused
	}
	n.fence = o.fence
	if n.leader == o.target {
		return n, Accepted
	}
	n.trace += "promote " + endNames[o.target] + "\n"
	m.promoted++
	for _, name := range n.acked {
		if !strings.ContainsRune(n.ends[o.target].log, name) {
			m.lost = fmt.Sprintf("commit %c is lost:\n%s", name, n.trace)
		}
	}
	n.term++
	n.leader = o.target
	n.ends[o.target].held = 0
	return n, Accepted
}

// platform carries out late orders, and another coordinator settles and releases forgotten holds.
func (m *model) platform(w world) {
	for i, o := range w.late {
		n := w.with("late order")
		n.late = append(n.late[:i:i], n.late[i+1:]...)
		n, _ = m.carryOut(n, o)
		m.push(n)
	}
	if m.settle && w.leader >= 0 && w.ends[w.leader].alive && !w.settled {
		n := w.with("forgotten holds are released")
		n.settled = true
		if !m.release {
			n.fence = settleFence
		}
		for i := range n.ends {
			n.ends[i].held = 0
		}
		m.push(n)
	}
}

// TestModel explores the whole model and two mutations of it, which lose a commit.
func TestModel(t *testing.T) {
	tests := map[string]struct {
		model model
		loses bool
	}{
		"one coordinator, late orders, a crash": {model: model{commits: 2, coordinators: 1, late: 2, crash: true, settle: true}},
		"two coordinators, a late order":        {model: model{commits: 1, coordinators: 2, late: 1}},
		"holds are released without settling":   {model: model{commits: 2, coordinators: 1, late: 1, settle: true, release: true}, loses: true},
		"endpoints that are gone":               {model: model{commits: 1, coordinators: 2, crash: true, gone: true}},
		"a replica is not counted":              {model: model{commits: 1, coordinators: 1, uncounted: true}, loses: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			m := test.model
			m.t = t
			m.run()
			t.Logf("%d states, %d promotions", len(m.seen), m.promoted)
			if (m.lost != "") != test.loses {
				t.Errorf("lost %q", m.lost)
			}
			if !test.loses && (m.promoted == 0 || len(m.seen) >= modelStates) {
				t.Error("nothing was promoted, or the model is larger than its bound")
			}
		})
	}
}
