package succession

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/endpoint"
)

// simulatedEndpoint is an endpoint of a simulatedGroup.
type simulatedEndpoint struct {
	name string
	log  uint64
	// term is the newest term that the endpoint knows, and logTerm the term of its last record.
	term, logTerm uint64
	// connected is set if the endpoint receives from the primary.
	connected  bool
	registered bool
	alive      bool
	// incarnation counts the restarts, and ledTerm is the newest term under which the endpoint has led.
	incarnation, ledTerm uint64
}

func (e *simulatedEndpoint) end() endpoint.Position {
	return endpoint.Position{Term: endpoint.LogTerm(e.logTerm), Offset: e.log}
}

// simulatedGroup is a group that acknowledges a commit once one replica has received it, monitored by one coordinator.
type simulatedGroup struct {
	commits uint64
	term    uint64
	// acknowledged is the end of the log with the last acknowledged commit.
	acknowledged endpoint.Position
	members      []*simulatedEndpoint
	// leader is the endpoint that leads, nil for none. known is the name of the one that the coordinator takes to lead.
	leader *simulatedEndpoint
	known  string
	// departed are the unregistered endpoints whose commits are not yet known to be in another replica.
	departed []string
	detector Detector
	now      time.Time
	// restarts is set if endpoints and coordinators restart. formers are the former incarnations whose commits are not yet known to be
	// in another replica, and listed the last primary in the store.
	restarts bool
	formers  []simulatedFormer
	listed   lastPrimary
	// departuresIgnored is a mutation: departed endpoints that do not answer are left out of the surveys.
	departuresIgnored bool
}

// simulatedFormer is a former incarnation of an endpoint.
type simulatedFormer struct {
	name        string
	incarnation uint64
}

func (f simulatedFormer) label() string { return fmt.Sprintf("%s/%d", f.name, f.incarnation) }

func newSimulatedGroup() *simulatedGroup {
	g := &simulatedGroup{now: epoch, term: 1, known: "p"}
	for _, name := range []string{"p", "a", "b"} {
		g.members = append(g.members, &simulatedEndpoint{name: name, term: 1, logTerm: 1, connected: true, registered: true, alive: true})
	}
	g.leader = g.members[0]
	g.leader.ledTerm = 1
	return g
}

func (g *simulatedGroup) commit() {
	if g.leader == nil || !g.leader.alive {
		return
	}
	g.commits++
	g.leader.log, g.leader.logTerm = g.commits, g.term
	for _, m := range g.members {
		if m != g.leader && m.alive && m.connected {
			g.receive(m)
			g.acknowledged = g.leader.end()
		}
	}
}

func (g *simulatedGroup) receive(m *simulatedEndpoint) {
	m.log, m.logTerm, m.term = g.leader.log, g.leader.logTerm, g.term
}

// promote is a succession of another coordinator. It relies on every endpoint, also on those that this coordinator no longer
// probes.
func (g *simulatedGroup) promote(target *simulatedEndpoint) {
	for _, m := range g.members {
		if m.end().Compare(target.end()) > 0 {
			return
		}
	}
	if !target.alive || !target.registered || target == g.leader || g.acknowledged.Compare(target.end()) > 0 {
		return
	}
	g.term++
	g.leader, target.term, target.ledTerm = target, g.term, g.term
}

// survey probes the group as a coordinator does. It returns the assessment and the replicas that would be held.
func (g *simulatedGroup) survey() (Assessment, []*simulatedEndpoint) {
	g.now = g.now.Add(300 * time.Millisecond)
	s := Survey{Primary: g.known, Acknowledge: 1}
	var counted []*simulatedEndpoint
	for _, m := range g.members {
		departed := slices.Contains(g.departed, m.name)
		if !m.registered && !departed || departed && !m.alive && g.departuresIgnored {
			continue
		}
		result := ProbeResult{Endpoint: m.name, Refused: true}
		if m.alive {
			status := endpoint.PlatformStatus{Role: endpoint.Replica, Term: endpoint.FencedTerm(m.term), Log: m.end()}
			if m == g.leader {
				status.Role = endpoint.Primary
			}
			result = ProbeResult{Endpoint: m.name, Answered: true, Status: &status}
			counted = append(counted, m)
		}
		result.Departed, result.Leaving, result.Incarnation = departed, departed, m.incarnation
		s.Results = append(s.Results, result)
	}
	for _, f := range g.formers {
		s.Results = append(s.Results, ProbeResult{Endpoint: f.label(), Departed: true, Successor: f.name, Incarnation: f.incarnation})
	}
	var assessment Assessment
	g.detector, assessment = g.detector.Observe(s, 0, timing, g.now)
	if assessment.Primary != "" && !slices.Contains(g.departed, assessment.Primary) {
		g.known = assessment.Primary
	}
	g.departed = slices.DeleteFunc(g.departed, func(name string) bool { return slices.Contains(assessment.Settled, name) })
	g.formers = slices.DeleteFunc(g.formers, func(f simulatedFormer) bool { return slices.Contains(assessment.Settled, f.label()) })
	return assessment, slices.DeleteFunc(counted, func(m *simulatedEndpoint) bool { return m.name == assessment.OldPrimary })
}

// TestDepartures guards against the loss of commits when endpoints leave: one of them alone has received the acknowledged
// commits, also for a while after it is no longer registered, or it was the primary until it was demoted. Over many random
// sequences of events, no log is promoted that lacks an acknowledged commit, and many sequences end with a promotion.
func TestDepartures(t *testing.T) {
	tests := map[string]struct {
		departuresIgnored bool
		restarts          bool
		loses             bool
	}{
		"departures are counted":  {},
		"restarts":                {restarts: true},
		"departures are left out": {departuresIgnored: true, loses: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			const sequences, steps = 200_000, 14
			random := rand.New(rand.NewPCG(1, 2))
			promoted, settled := 0, 0
			lost := ""
			for done := 0; done < sequences && lost == ""; done++ {
				g := newSimulatedGroup()
				g.departuresIgnored, g.restarts = test.departuresIgnored, test.restarts
				var trace []string
				replaced := false
				for range steps {
					trace = append(trace, g.randomEvent(random))
					assessment, counted := g.survey()
					settled += len(assessment.Settled)
					if !assessment.Replace {
						continue
					}
					if !replaced {
						replaced = true
						promoted++
					}
					g.abandonSuccession(assessment)
					if longest := longestLog(counted); g.acknowledged.Compare(longest) > 0 {
						lost = fmt.Sprintf("commit %s was acknowledged, the longest counted log ends at %s (%s): %v", g.acknowledged, longest, assessment.Reason, trace)
						break
					}
				}
			}
			t.Logf("%d of %d sequences of events have a promotion, %d departures were settled", promoted, sequences, settled)
			if (lost != "") != test.loses {
				t.Errorf("lost commit: %q", lost)
			}
			if lost == "" && promoted < sequences/4 {
				t.Errorf("only %d of %d sequences of events have a promotion", promoted, sequences)
			}
		})
	}
}

// abandonSuccession carries out a succession whose promotion the platform does not accept. The old primary is demoted if it
// answers.
func (g *simulatedGroup) abandonSuccession(a Assessment) {
	if g.leader != nil && g.leader.alive && g.leader.name == a.Primary {
		g.leader = nil
	}
	g.detector = g.detector.afterAttempt(0)
}

// randomEvent applies a random event to a random endpoint and returns the names of both.
func (g *simulatedGroup) randomEvent(random *rand.Rand) string {
	m := g.members[random.IntN(len(g.members))]
	events := g.events(m)
	names := slices.Sorted(maps.Keys(events))
	name := names[random.IntN(len(names))]
	events[name]()
	return name + " " + m.name
}

// events returns what may happen to an endpoint, by name.
func (g *simulatedGroup) events(m *simulatedEndpoint) map[string]func() {
	out := g.commonEvents(m)
	if g.restarts {
		maps.Copy(out, g.restartEvents(m))
	}
	return out
}

// restartEvents returns which restarts may happen.
func (g *simulatedGroup) restartEvents(m *simulatedEndpoint) map[string]func() {
	return map[string]func(){
		"restart":             func() { g.restart(m, true) },
		"restart without log": func() { g.restart(m, false) },
		"list": func() {
			if g.detector.lastPrimary.replaces(g.listed) {
				g.listed = g.detector.lastPrimary
			}
		},
		"restart the coordinator": func() { g.detector, g.known = Detector{}.withListedPrimary(g.listed), "" },
	}
}

// restart starts an endpoint again under its name. It has its log if it led under the newest term. Others may have lost theirs, unless it
// was the last one with an acknowledged commit.
func (g *simulatedGroup) restart(m *simulatedEndpoint, keeps bool) {
	if !m.registered {
		return
	}
	g.formers = append(g.formers, simulatedFormer{name: m.name, incarnation: m.incarnation})
	m.incarnation++
	m.alive, m.connected = true, true
	others := slices.DeleteFunc(slices.Clone(g.members), func(o *simulatedEndpoint) bool { return o == m || !o.alive && !o.registered })
	if !keeps && m.ledTerm != g.term && g.acknowledged.Compare(longestLog(others)) <= 0 {
		m.log, m.logTerm, m.term, m.ledTerm = 0, 0, 0, 0
	}
	if m != g.leader && g.leader != nil && g.leader.alive {
		g.receive(m)
	}
}

// commonEvents returns what may happen to an endpoint but restarts, by name.
func (g *simulatedGroup) commonEvents(m *simulatedEndpoint) map[string]func() {
	return map[string]func(){
		"commit": g.commit,
		"cut":    func() { m.connected = false },
		"heal": func() {
			if m.connected = m.alive; m.connected && m != g.leader && g.leader != nil && g.leader.alive {
				g.receive(m)
			}
		},
		"leave": func() {
			if m.registered {
				m.registered = false
				g.departed = append(g.departed, m.name)
				if m.name == g.known {
					g.known = ""
				}
			}
		},
		// An endpoint stops some time after it is no longer registered.
		"end": func() { m.alive = m.alive && m.registered },
		"end with a successor": func() {
			if m.alive && !m.registered {
				m.alive = false
				g.members = append(g.members, &simulatedEndpoint{name: m.name + "'", log: m.log, logTerm: m.logTerm, term: m.term, connected: true, registered: true, alive: true})
			}
		},
		"crash": func() {
			if g.leader != nil {
				g.leader.alive = false
			}
		},
		// A succession demotes the primary and ends without a promotion.
		"demote": func() { g.leader = nil },
		// A demoted primary tells callers that it does not lead.
		"forget": func() {
			if g.leader == nil {
				g.known = ""
			}
		},
		"promote": func() { g.promote(m) },
		"none":    func() {},
	}
}

func longestLog(members []*simulatedEndpoint) endpoint.Position {
	var longest endpoint.Position
	for _, m := range members {
		longest = longest.Max(m.end())
	}
	return longest
}

// TestDepartureSettles checks when a departed replica no longer blocks the replacement of the primary.
func TestDepartureSettles(t *testing.T) {
	departed := ProbeResult{Endpoint: "c", Refused: true, Departed: true}
	departing := replicaResult("c", 9)
	departing.Departed, departing.Leaving = true, true
	crashed := ProbeResult{Endpoint: "p", Refused: true}
	former := ProbeResult{Endpoint: "p/1", Departed: true, Successor: "p"}
	replicaAt := func(log uint64) ProbeResult { return replicaResult("a", log) }
	formerOf := func(name string, incarnation uint64) ProbeResult {
		return ProbeResult{Endpoint: fmt.Sprintf("%s/%d", name, incarnation), Departed: true, Successor: name, Incarnation: incarnation}
	}
	ledBy := func(name string, incarnation uint64) ProbeResult {
		result := primaryResult(name, 9)
		result.Incarnation = incarnation
		return result
	}
	inTerm := func(result ProbeResult, term endpoint.FencedTerm) ProbeResult {
		result.Status.Term = term
		return result
	}
	logInTerm := func(result ProbeResult, term endpoint.FencedTerm) ProbeResult {
		result.Status.Term, result.Status.Log.Term = term, endpoint.LogTerm(term)
		return result
	}
	emptyResult := func(name string) ProbeResult {
		result := replicaResult(name, 0)
		result.Status.Term, result.Status.Log = 0, endpoint.Position{}
		return result
	}
	tests := map[string]struct {
		// listed is the last primary that the store lists.
		listed  lastPrimary
		surveys [][]ProbeResult
		want    bool
		// unreplicated is set if commits are acknowledged without a replica.
		unreplicated bool
		// settled is the number of surveys after which the departure is settled, 0 for never.
		settled int
	}{
		"other replica has caught up": {
			surveys: [][]ProbeResult{{primaryResult("p", 7), replicaAt(7), departed}, {primaryResult("p", 9), replicaAt(9), departed}, {primaryResult("p", 9), replicaAt(9), departed}, {crashed, replicaAt(9)}, {crashed, replicaAt(9)}},
			want:    true, settled: 3,
		},
		// A former primary that never returns after a failover must not block the next one.
		"unresponsive for long before it left": {
			surveys: [][]ProbeResult{
				{primaryResult("p", 7), replicaAt(7), {Endpoint: "c"}},
				{primaryResult("p", 9), replicaAt(9), {Endpoint: "c"}},
				{primaryResult("p", 9), replicaAt(9), {Endpoint: "c"}},
				{crashed, replicaAt(9), {Endpoint: "c"}},
				{crashed, replicaAt(9), departed},
				{crashed, replicaAt(9)},
			},
			want: true, settled: 5,
		},
		"other replica has not caught up": {
			surveys: [][]ProbeResult{{primaryResult("p", 7), replicaAt(5), departed}, {primaryResult("p", 9), replicaAt(5), departed}, {primaryResult("p", 9), replicaAt(5), departed}, {crashed, replicaAt(5), departed}, {crashed, replicaAt(5), departed}},
		},
		"primary crashes before the departure settles": {
			surveys: [][]ProbeResult{{primaryResult("p", 7), replicaAt(7), departed}, {crashed, replicaAt(7), departed}, {crashed, replicaAt(7), departed}},
		},
		"primary crashes, commits need no replica": {
			surveys: [][]ProbeResult{{primaryResult("p", 7), replicaAt(7), departed}, {crashed, replicaAt(7), departed}, {crashed, replicaAt(7), departed}},
			want:    true, unreplicated: true,
		},
		// Abandoned holds keep the replicas from receiving, so that no replica reaches the primary's log.
		"primary has restarted with its log, replicas are held": {
			surveys: [][]ProbeResult{{primaryResult("p", 9), replicaAt(7), replicaResult("b", 7), former}, {primaryResult("p", 9), replicaAt(7), replicaResult("b", 7), former}, {primaryResult("p", 9), replicaAt(7), replicaResult("b", 7), former}},
			want:    true, settled: 3,
		},
		"demoted primary has restarted with its log": {
			surveys: [][]ProbeResult{{ledBy("p", 1), replicaAt(5)}, {replicaResult("p", 9), replicaAt(5), formerOf("p", 1)}, {replicaResult("p", 9), replicaAt(5)}},
			want:    true, settled: 2,
		},
		// Soak seeds 611, 647 and 9206: nobody led, since the former incarnation of a demoted primary and a lost replica were left out.
		"demoted primary has restarted, a replica is lost": {
			surveys: [][]ProbeResult{{ledBy("p", 1), replicaAt(5), replicaResult("c", 9)}, {replicaResult("p", 9), replicaAt(5), formerOf("p", 1), departed}, {replicaResult("p", 9), replicaAt(5), departed}},
			want:    true, settled: 2,
		},
		"demoted primary has restarted, all coordinators too": {
			listed:  lastPrimary{endpoint: "p", incarnation: 1, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(5), formerOf("p", 1), departed}, {replicaResult("p", 9), replicaAt(5), departed}},
			want:    true, settled: 1,
		},
		"demoted primary has restarted twice": {
			listed:  lastPrimary{endpoint: "p", incarnation: 1, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(5), formerOf("p", 1), formerOf("p", 2), departed}, {replicaResult("p", 9), replicaAt(5), departed}},
			want:    true, settled: 1,
		},
		"former primary has restarted, another one has led": {
			listed:  lastPrimary{endpoint: "p", incarnation: 1, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), inTerm(replicaAt(5), 2), formerOf("p", 1), departed}, {replicaResult("p", 9), inTerm(replicaAt(5), 2), formerOf("p", 1), departed}},
		},
		// Soak seed 9307: nobody led though all endpoints had the whole log, since the store still listed former incarnations of each.
		"all have restarted before and after": {
			listed:  lastPrimary{endpoint: "p", incarnation: 2, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(9), replicaResult("b", 9), formerOf("p", 1), formerOf("p", 2), formerOf("a", 1), formerOf("b", 1)}, {replicaResult("p", 9), replicaAt(9), replicaResult("b", 9), formerOf("p", 1), formerOf("p", 2), formerOf("a", 1), formerOf("b", 1)}},
			want:    true, settled: 2,
		},
		"all have restarted, no replica has the whole log": {
			listed:  lastPrimary{endpoint: "p", incarnation: 2, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(5), replicaResult("b", 5), formerOf("a", 1), formerOf("b", 1)}, {replicaResult("p", 9), replicaAt(5), replicaResult("b", 5), formerOf("a", 1), formerOf("b", 1)}},
		},
		"replicas have restarted, one does not answer": {
			listed:  lastPrimary{endpoint: "p", incarnation: 2, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(9), {Endpoint: "b"}, formerOf("b", 1)}, {replicaResult("p", 9), replicaAt(9), {Endpoint: "b"}, formerOf("b", 1)}},
		},
		// The log is that of the next primary, perhaps only a part of it.
		"former primary has restarted and received from another one": {
			listed:  lastPrimary{endpoint: "p", incarnation: 1, term: 1},
			surveys: [][]ProbeResult{{logInTerm(replicaResult("p", 9), 2), replicaAt(5), formerOf("p", 1), departed}, {logInTerm(replicaResult("p", 9), 2), replicaAt(5), formerOf("p", 1), departed}},
		},
		"demoted primary has lost its log": {
			listed:  lastPrimary{endpoint: "p", incarnation: 1, term: 1},
			surveys: [][]ProbeResult{{emptyResult("p"), replicaAt(5), formerOf("p", 1), departed}, {emptyResult("p"), replicaAt(5), formerOf("p", 1), departed}},
		},
		"incarnation before the one that led": {
			listed:  lastPrimary{endpoint: "p", incarnation: 2, term: 1},
			surveys: [][]ProbeResult{{replicaResult("p", 9), replicaAt(5), formerOf("p", 1), departed}, {replicaResult("p", 9), replicaAt(5), formerOf("p", 1), departed}},
		},
		"replica has restarted": {
			surveys: [][]ProbeResult{{primaryResult("p", 9), replicaAt(7), {Endpoint: "a/1", Departed: true, Successor: "a"}}, {crashed, replicaAt(7), {Endpoint: "a/1", Departed: true, Successor: "a"}}, {crashed, replicaAt(7), {Endpoint: "a/1", Departed: true, Successor: "a"}}},
		},
		"departed replica still answers": {
			surveys: [][]ProbeResult{{primaryResult("p", 9), replicaAt(5), departing}, {crashed, replicaAt(5), departing}, {crashed, replicaAt(5), departing}},
			want:    true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := Detector{}.withListedPrimary(test.listed)
			var got Assessment
			settled := 0
			for n, results := range test.surveys {
				acknowledge := 1
				if test.unreplicated {
					acknowledge = 0
				}
				d, got = d.Observe(Survey{Primary: "p", Results: results, Acknowledge: acknowledge}, 0, timing, epoch.Add(time.Duration(n)*time.Second))
				if len(got.Settled) > 0 {
					settled = n + 1
				}
			}
			if diff := cmp.Diff([]any{test.want, test.settled}, []any{got.Replace, settled}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
