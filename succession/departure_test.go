package succession

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// groupMember is a replica of a simulated group.
type groupMember struct {
	name string
	log  uint64
	// receives tells that the primary reaches it.
	receives   bool
	registered bool
	alive      bool
}

// simulated is a group that acknowledges by one replica, watched by one coordinator.
type simulated struct {
	log     uint64
	acked   uint64
	crashed bool
	members []*groupMember
	// departed are the endpoints that the coordinator's database remembers.
	departed []string
	watch    Detector
	now      time.Time
}

func (g *simulated) commit() {
	if g.crashed {
		return
	}
	g.log++
	for _, m := range g.members {
		if m.alive && m.receives {
			m.log = g.log
			g.acked = g.log
		}
	}
}

// look surveys the group as a coordinator does and returns the judgement with the replicas that would be held.
func (g *simulated) look() (Assessment, []*groupMember) {
	g.now = g.now.Add(300 * time.Millisecond)
	s := Survey{Primary: "p", Acknowledge: 1}
	if g.crashed {
		s.Results = append(s.Results, ProbeResult{Endpoint: "p", Refused: true})
	} else {
		s.Results = append(s.Results, primary("p", g.log))
	}
	var counted []*groupMember
	for _, m := range g.members {
		departed := slices.Contains(g.departed, m.name)
		if !m.registered && !departed {
			continue
		}
		sight := ProbeResult{Endpoint: m.name, Refused: true}
		if m.alive {
			sight = replica(m.name, m.log)
			counted = append(counted, m)
		}
		sight.Departed, sight.Leaving = departed, departed
		s.Results = append(s.Results, sight)
	}
	var j Assessment
	g.watch, j = g.watch.Observe(s, 0, timing, g.now)
	g.departed = slices.DeleteFunc(g.departed, func(name string) bool { return slices.Contains(j.Settled, name) })
	return j, counted
}

// TestDepartures answers the pattern of a replica that leaves while the others are cut off from the primary: it alone has
// received what was acknowledged, for a while also after it is no longer registered. In none of many short orders of events
// is a log promoted that lacks an acknowledged commit, and in many of them one is promoted.
func TestDepartures(t *testing.T) {
	const orders, steps = 200_000, 14
	random := rand.New(rand.NewPCG(1, 2))
	promoted := 0
	for range orders {
		g := &simulated{now: epoch}
		for _, name := range []string{"a", "b"} {
			g.members = append(g.members, &groupMember{name: name, receives: true, registered: true, alive: true})
		}
		var trace []string
		for range steps {
			trace = append(trace, g.step(random))
			j, counted := g.look()
			if !j.Replace {
				continue
			}
			promoted++
			if longest := longestOf(counted); longest < g.acked {
				t.Fatalf("commit %d was acknowledged, the longest log that counts ends at %d (%s): %v", g.acked, longest, j.Reason, trace)
			}
			break
		}
	}
	t.Logf("%d of %d orders of events end with a promotion", promoted, orders)
	if promoted < orders/4 {
		t.Errorf("only %d of %d orders of events end with a promotion", promoted, orders)
	}
}

// step lets one event happen and returns its name.
func (g *simulated) step(random *rand.Rand) string {
	m := g.members[random.IntN(len(g.members))]
	events := map[string]func(){
		"commit": g.commit,
		"cut":    func() { m.receives = false },
		"heal": func() {
			if m.receives = m.alive; m.receives && !g.crashed {
				m.log = g.log
			}
		},
		"leave": func() {
			if m.registered {
				m.registered = false
				g.departed = append(g.departed, m.name)
			}
		},
		// An endpoint ends some time after it is no longer registered.
		"end":   func() { m.alive = m.alive && m.registered },
		"crash": func() { g.crashed = true },
		"none":  func() {},
	}
	names := slices.Sorted(maps.Keys(events))
	name := names[random.IntN(len(names))]
	events[name]()
	return name + " " + m.name
}

func longestOf(members []*groupMember) uint64 {
	longest := uint64(0)
	for _, m := range members {
		longest = max(longest, m.log)
	}
	return longest
}

// TestDepartureSettles gives looks after a replica left and whether the primary may be replaced at the end of them.
func TestDepartureSettles(t *testing.T) {
	gone := ProbeResult{Endpoint: "c", Refused: true, Departed: true}
	alive := replica("c", 9)
	alive.Departed, alive.Leaving = true, true
	crashed := ProbeResult{Endpoint: "p", Refused: true}
	a := func(log uint64) ProbeResult { return replica("a", log) }
	tests := map[string]struct {
		looks [][]ProbeResult
		want  bool
		// alone tells that commits are acknowledged without a replica.
		alone bool
		// settled is after how many looks the departure no longer counts, 0 for never.
		settled int
	}{
		"others have caught up": {
			looks: [][]ProbeResult{{primary("p", 7), a(7), gone}, {primary("p", 9), a(9), gone}, {primary("p", 9), a(9), gone}, {crashed, a(9)}, {crashed, a(9)}},
			want:  true, settled: 3,
		},
		// The pattern of two losses in a row: a former primary that never came back must not block the second failover.
		"silent for long before it left": {
			looks: [][]ProbeResult{
				{primary("p", 7), a(7), {Endpoint: "c"}},
				{primary("p", 9), a(9), {Endpoint: "c"}},
				{primary("p", 9), a(9), {Endpoint: "c"}},
				{crashed, a(9), {Endpoint: "c"}},
				{crashed, a(9), gone},
				{crashed, a(9)},
			},
			want: true, settled: 5,
		},
		"others have not": {
			looks: [][]ProbeResult{{primary("p", 7), a(5), gone}, {primary("p", 9), a(5), gone}, {primary("p", 9), a(5), gone}, {crashed, a(5), gone}, {crashed, a(5), gone}},
		},
		"primary crashes at once": {
			looks: [][]ProbeResult{{primary("p", 7), a(7), gone}, {crashed, a(7), gone}, {crashed, a(7), gone}},
		},
		"primary crashes at once, no replica was promised anything": {
			looks: [][]ProbeResult{{primary("p", 7), a(7), gone}, {crashed, a(7), gone}, {crashed, a(7), gone}},
			want:  true, alone: true,
		},
		"it still answers": {
			looks: [][]ProbeResult{{primary("p", 9), a(5), alive}, {crashed, a(5), alive}, {crashed, a(5), alive}},
			want:  true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var w Detector
			var j Assessment
			settled := 0
			for n, sights := range test.looks {
				acknowledge := 1
				if test.alone {
					acknowledge = 0
				}
				w, j = w.Observe(Survey{Primary: "p", Results: sights, Acknowledge: acknowledge}, 0, timing, epoch.Add(time.Duration(n)*time.Second))
				if len(j.Settled) > 0 {
					settled = n + 1
				}
			}
			if diff := cmp.Diff([]any{test.want, test.settled}, []any{j.Replace, settled}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
