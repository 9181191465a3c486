package succession

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// simulatedReplica is a replica of a simulatedGroup.
type simulatedReplica struct {
	name string
	log  uint64
	// connected is set if the replica receives from the primary.
	connected  bool
	registered bool
	alive      bool
}

// simulatedGroup is a group that acknowledges a commit once one replica has received it, monitored by one coordinator.
type simulatedGroup struct {
	log          uint64
	acknowledged uint64
	crashed      bool
	members      []*simulatedReplica
	// departed are the unregistered endpoints whose commits are not yet known to be in another replica.
	departed []string
	detector Detector
	now      time.Time
}

func (g *simulatedGroup) commit() {
	if g.crashed {
		return
	}
	g.log++
	for _, m := range g.members {
		if m.alive && m.connected {
			m.log = g.log
			g.acknowledged = g.log
		}
	}
}

// survey probes the group as a coordinator does. It returns the assessment and the replicas that would be held.
func (g *simulatedGroup) survey() (Assessment, []*simulatedReplica) {
	g.now = g.now.Add(300 * time.Millisecond)
	s := Survey{Primary: "p", Acknowledge: 1}
	if g.crashed {
		s.Results = append(s.Results, ProbeResult{Endpoint: "p", Refused: true})
	} else {
		s.Results = append(s.Results, primaryResult("p", g.log))
	}
	var counted []*simulatedReplica
	for _, m := range g.members {
		departed := slices.Contains(g.departed, m.name)
		if !m.registered && !departed {
			continue
		}
		result := ProbeResult{Endpoint: m.name, Refused: true}
		if m.alive {
			result = replicaResult(m.name, m.log)
			counted = append(counted, m)
		}
		result.Departed, result.Leaving = departed, departed
		s.Results = append(s.Results, result)
	}
	var assessment Assessment
	g.detector, assessment = g.detector.Observe(s, 0, timing, g.now)
	g.departed = slices.DeleteFunc(g.departed, func(name string) bool { return slices.Contains(assessment.Settled, name) })
	return assessment, counted
}

// TestDepartures guards against the loss of commits when a replica leaves while the others are cut off from the primary:
// it alone has received the acknowledged commits, also for a while after it is no longer registered. Over many random
// sequences of events, no log is promoted that lacks an acknowledged commit, and many sequences end with a promotion.
func TestDepartures(t *testing.T) {
	const sequences, steps = 200_000, 14
	random := rand.New(rand.NewPCG(1, 2))
	promoted := 0
	for range sequences {
		g := &simulatedGroup{now: epoch}
		for _, name := range []string{"a", "b"} {
			g.members = append(g.members, &simulatedReplica{name: name, connected: true, registered: true, alive: true})
		}
		var trace []string
		for range steps {
			trace = append(trace, g.randomEvent(random))
			assessment, counted := g.survey()
			if !assessment.Replace {
				continue
			}
			promoted++
			if longest := longestLog(counted); longest < g.acknowledged {
				t.Fatalf("commit %d was acknowledged, the longest counted log ends at %d (%s): %v", g.acknowledged, longest, assessment.Reason, trace)
			}
			break
		}
	}
	t.Logf("%d of %d sequences of events end with a promotion", promoted, sequences)
	if promoted < sequences/4 {
		t.Errorf("only %d of %d sequences of events end with a promotion", promoted, sequences)
	}
}

// randomEvent applies a random event to a random replica and returns the names of both.
func (g *simulatedGroup) randomEvent(random *rand.Rand) string {
	m := g.members[random.IntN(len(g.members))]
	events := map[string]func(){
		"commit": g.commit,
		"cut":    func() { m.connected = false },
		"heal": func() {
			if m.connected = m.alive; m.connected && !g.crashed {
				m.log = g.log
			}
		},
		"leave": func() {
			if m.registered {
				m.registered = false
				g.departed = append(g.departed, m.name)
			}
		},
		// An endpoint stops some time after it is no longer registered.
		"end":   func() { m.alive = m.alive && m.registered },
		"crash": func() { g.crashed = true },
		"none":  func() {},
	}
	names := slices.Sorted(maps.Keys(events))
	name := names[random.IntN(len(names))]
	events[name]()
	return name + " " + m.name
}

func longestLog(members []*simulatedReplica) uint64 {
	longest := uint64(0)
	for _, m := range members {
		longest = max(longest, m.log)
	}
	return longest
}

// TestDepartureSettles checks when a departed replica no longer blocks the replacement of the primary.
func TestDepartureSettles(t *testing.T) {
	departed := ProbeResult{Endpoint: "c", Refused: true, Departed: true}
	departing := replicaResult("c", 9)
	departing.Departed, departing.Leaving = true, true
	crashed := ProbeResult{Endpoint: "p", Refused: true}
	replicaAt := func(log uint64) ProbeResult { return replicaResult("a", log) }
	tests := map[string]struct {
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
		"departed replica still answers": {
			surveys: [][]ProbeResult{{primaryResult("p", 9), replicaAt(5), departing}, {crashed, replicaAt(5), departing}, {crashed, replicaAt(5), departing}},
			want:    true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var d Detector
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
