package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"siskincove/config"
)

var epoch = time.Unix(1_000_000, 0)

func selfInstance() Instance {
	return Instance{ID: "self", Address: "127.0.0.1:1", Domain: "r/a", Incarnation: 1}
}

func otherInstance(id string, incarnation uint64) Instance {
	return Instance{ID: id, Address: "127.0.0.1:2" + id, Domain: "r/a", Incarnation: incarnation}
}

func liveIDs(t *Table) []string {
	out := []string{}
	for _, i := range t.Live() {
		out = append(out, i.ID)
	}
	return out
}

// TestTable checks which instances count as live after a sequence of events.
func TestTable(t *testing.T) {
	listed := []Instance{{ID: "b", Address: "127.0.0.1:2b", Domain: "r/a"}, {ID: "self", Address: "127.0.0.1:1"}}
	missHeartbeats := func(n int) func(*Table) {
		return func(t *Table) {
			for range n {
				t.Missed("b", epoch)
			}
		}
	}
	answerAs := func(incarnation uint64) func(*Table) {
		return func(t *Table) { t.Answered(otherInstance("b", incarnation), false, epoch) }
	}
	roster := func(list []Instance) func(*Table) { return func(t *Table) { t.ApplyRoster(list, epoch) } }
	tests := map[string]struct {
		steps []func(*Table)
		want  []string
	}{
		"no other instances":                         {want: []string{"self"}},
		"listed but never answered":                  {steps: []func(*Table){roster(listed)}, want: []string{"self"}},
		"answers, not listed":                        {steps: []func(*Table){answerAs(1)}, want: []string{"b", "self"}},
		"roster out of date: not listed but answers": {steps: []func(*Table){roster(listed), answerAs(1), roster(nil)}, want: []string{"b", "self"}},
		"roster out of date: listed but dead":        {steps: []func(*Table){roster(listed), answerAs(1), missHeartbeats(3), roster(listed)}, want: []string{"self"}},
		"one heartbeat missed":                       {steps: []func(*Table){answerAs(1), missHeartbeats(1)}, want: []string{"b", "self"}},
		"two missed, then an answer":                 {steps: []func(*Table){answerAs(1), missHeartbeats(2), answerAs(1), missHeartbeats(2)}, want: []string{"b", "self"}},
		"answers again after it was dead":            {steps: []func(*Table){answerAs(1), missHeartbeats(3), answerAs(1)}, want: []string{"b", "self"}},
		"late heartbeat of an earlier incarnation":   {steps: []func(*Table){answerAs(2), missHeartbeats(3), answerAs(1)}, want: []string{"self"}},
		"leaving":                       {steps: []func(*Table){answerAs(1), func(t *Table) { t.Answered(otherInstance("b", 1), true, epoch) }}, want: []string{"self"}},
		"this instance leaves":          {steps: []func(*Table){answerAs(1), func(t *Table) { t.MarkLeaving(epoch) }}, want: []string{"b"}},
		"rumoured dead, not confirmed":  {steps: []func(*Table){answerAs(1), func(t *Table) { t.ApplyRumours([]Rumour{{ID: "b", Incarnation: 1, State: Dead}}, epoch) }}, want: []string{"b", "self"}},
		"rumoured alive, not confirmed": {steps: []func(*Table){func(t *Table) { t.ApplyRumours([]Rumour{{ID: "b", Address: "x", State: Alive}}, epoch) }}, want: []string{"self"}},
		"rumour about this instance":    {steps: []func(*Table){func(t *Table) { t.ApplyRumours([]Rumour{{ID: "self", State: Dead, Incarnation: 9}}, epoch) }}, want: []string{"self"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(selfInstance())
			for _, step := range test.steps {
				step(table)
			}
			if diff := cmp.Diff(test.want, liveIDs(table)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestContradictingRumourProbed checks that a rumour that contradicts an instance's state leads to a heartbeat to it in the
// next period.
func TestContradictingRumourProbed(t *testing.T) {
	table := NewTable(selfInstance())
	for n := range 40 {
		table.Answered(otherInstance(fmt.Sprintf("%02d", n), 1), false, epoch)
	}
	table.ApplyRumours([]Rumour{{ID: "17", Incarnation: 1, State: Dead}}, epoch)
	targets := table.Targets(epoch)
	if targets[0].ID != "17" {
		t.Errorf("first heartbeat goes to %s", targets[0].ID)
	}
	if len(targets) > fanout+1 {
		t.Errorf("%d heartbeats in one period", len(targets))
	}
}

// TestRankStable checks that the loss of an instance moves only the keys that it owned, and that the ranking does not
// depend on the order in which instances are given.
func TestRankStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Instance
		for n := range rapid.IntRange(2, 30).Draw(t, "instances") {
			all = append(all, otherInstance(fmt.Sprintf("%02d", n), 1))
		}
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		shuffled := rapid.Permutation(all).Draw(t, "order")
		var rest []Instance
		for n, i := range all {
			if n != lost {
				rest = append(rest, i)
			}
		}
		for key := range 50 {
			name := fmt.Sprintf("endpoint-%d", key)
			before, after := Rank(name, all)[0], Rank(name, rest)[0]
			if Rank(name, shuffled)[0].ID != before.ID {
				t.Fatal("ranking depends on the order of instances")
			}
			if before.ID != all[lost].ID && after.ID != before.ID {
				t.Fatalf("%s moved from %s to %s", name, before.ID, after.ID)
			}
		}
	})
}

// TestHighestRanked compares HighestRanked with a naive ranking that scores and sorts all instances.
func TestHighestRanked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Instance
		for n := range rapid.IntRange(0, 40).Draw(t, "instances") {
			i := otherInstance(fmt.Sprintf("%02d", n), 1)
			i.Domain = fmt.Sprintf("r%d/d%d", n%3, n%5)
			all = append(all, i)
		}
		domain := fmt.Sprintf("r%d/d%d", rapid.IntRange(0, 3).Draw(t, "region"), rapid.IntRange(0, 5).Draw(t, "domain"))
		most := rapid.IntRange(0, 5).Draw(t, "most")
		got := NewPlacement(all).HighestRanked("key", domain, most)
		if diff := cmp.Diff(naiveHighestRanked(all, "key", domain, most), got, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func naiveHighestRanked(all []Instance, key, domain string, most int) []Instance {
	filter := func(keep func(Instance) bool) []Instance {
		var out []Instance
		for _, i := range all {
			if keep(i) {
				out = append(out, i)
			}
		}
		return out
	}
	found := filter(func(i Instance) bool { return i.Domain == domain })
	if len(found) == 0 {
		found = filter(func(i Instance) bool { return config.Region(i.Domain) == config.Region(domain) })
	}
	if len(found) == 0 {
		found = all
	}
	out := slices.Clone(found)
	slices.SortFunc(out, func(a, b Instance) int {
		return cmpScore(key, b, a)
	})
	return out[:min(len(out), most)]
}

func cmpScore(key string, a, b Instance) int {
	score := func(i Instance) uint64 { return mix(xxhash.Sum64String(key) ^ xxhash.Sum64String(i.ID)) }
	if score(a) < score(b) {
		return -1
	}
	return 1
}

func TestNear(t *testing.T) {
	all := []Instance{{ID: "a", Domain: "n/1"}, {ID: "b", Domain: "n/2"}, {ID: "c", Domain: "s/1"}}
	tests := map[string][]string{"n/1": {"a"}, "n/3": {"a", "b"}, "w/1": {"a", "b", "c"}}
	for domain, want := range tests {
		t.Run(domain, func(t *testing.T) {
			var got []string
			for _, i := range NewPlacement(all).HighestRanked("key", domain, len(all)) {
				got = append(got, i.ID)
			}
			slices.Sort(got)
			if diff := cmp.Diff(want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestSpread(t *testing.T) {
	all := []Instance{{ID: "a", Domain: "n/1"}, {ID: "b", Domain: "n/2"}, {ID: "c", Domain: "s/1"}, {ID: "d", Domain: "s/1"}, {ID: "e", Domain: "w/1"}}
	tests := map[string]struct {
		domains []string
		want    []string
	}{
		"three regions":                {domains: []string{"n/1", "s/1", "w/1"}, want: []string{"n", "s", "w"}},
		"two regions":                  {domains: []string{"n/1", "s/1", "n/2"}, want: []string{"n", "n", "s"}},
		"one region":                   {domains: []string{"n/1"}, want: []string{"n", "n"}},
		"one region without instances": {domains: []string{"n/1", "e/1", "s/1"}, want: []string{"n", "n", "s"}},
		"none":                         {domains: []string{"e/1"}, want: []string{"", "", ""}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []string
			seen := map[string]bool{}
			for _, i := range NewPlacement(all).Spread("key", test.domains, 3) {
				if seen[i.ID] {
					t.Errorf("instance %s returned twice", i.ID)
				}
				seen[i.ID] = true
				got = append(got, config.Region(i.Domain))
			}
			if name == "none" {
				if len(got) != 3 {
					t.Errorf("%d instances returned, want 3", len(got))
				}
				return
			}
			slices.Sort(got)
			slices.Sort(test.want)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPartners guards against heartbeats that mostly cross regions, whose traffic is dear, and against partners that are all
// in one region, which would keep news from the others.
func TestPartners(t *testing.T) {
	tests := map[string]struct {
		near, far int
		// want tells for each partner in turn whether it is far.
		want []bool
	}{
		"many in each region":     {near: 60, far: 130, want: []bool{false, false, false, true, false, false, false, true}},
		"small own region":        {near: 3, far: 20, want: []bool{false, true, false, true, true, false, true, true}},
		"alone in the region":     {near: 0, far: 3, want: []bool{true, true, true}},
		"no other region":         {near: 20, far: 0, want: make([]bool, 8)},
		"fewer than the partners": {near: 2, far: 2, want: []bool{false, true, false, true}},
		"alone":                   {want: []bool{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(selfInstance())
			for n := range test.near {
				table.Answered(otherInstance(fmt.Sprintf("near%d", n), 1), false, epoch)
			}
			for n := range test.far {
				other := otherInstance(fmt.Sprintf("far%d", n), 1)
				other.Domain = "elsewhere/b"
				table.Answered(other, false, epoch)
			}
			got := []bool{}
			for _, i := range table.partners() {
				got = append(got, config.Region(i.Domain) == "elsewhere")
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPresumedPlacement guards against a restart of all instances after which each knows only itself: it would connect to
// every endpoint, and all their new connections together would take the endpoints' slots from statements.
func TestPresumedPlacement(t *testing.T) {
	listed := []Instance{{ID: "b", Address: "127.0.0.1:2b", Domain: "r/a"}, {ID: "self", Address: "127.0.0.1:1"}}
	roster := func(t *Table) { t.ApplyRoster(listed, epoch) }
	miss := func(t *Table) { t.Missed("b", epoch) }
	answer := func(t *Table) { t.Answered(otherInstance("b", 1), false, epoch) }
	rumour := func(t *Table) {
		t.ApplyRumours([]Rumour{{ID: "c", Address: "127.0.0.1:2c", Domain: "r/a", State: Alive}}, epoch)
	}
	leave := func(t *Table) { t.Answered(otherInstance("b", 1), true, epoch) }
	tests := map[string]struct {
		steps []func(*Table)
		want  []string
	}{
		"listed":                               {steps: []func(*Table){roster}, want: []string{"b", "self"}},
		"listed, missed a heartbeat":           {steps: []func(*Table){roster, miss}, want: []string{"self"}},
		"listed, missed one and answered":      {steps: []func(*Table){roster, miss, answer}, want: []string{"b", "self"}},
		"answered, missed one":                 {steps: []func(*Table){roster, answer, miss}, want: []string{"b", "self"}},
		"named by a peer":                      {steps: []func(*Table){rumour}, want: []string{"c", "self"}},
		"listed, leaving":                      {steps: []func(*Table){roster, leave}, want: []string{"self"}},
		"dead, still listed":                   {steps: []func(*Table){roster, answer, miss, miss, miss, roster}, want: []string{"self"}},
		"dead, then answered, then missed one": {steps: []func(*Table){roster, miss, miss, miss, answer, miss}, want: []string{"b", "self"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(selfInstance())
			table.PresumeUnproven()
			for _, step := range test.steps {
				before, version := table.Placed(), table.Version()
				step(table)
				if diff := cmp.Diff(before, table.Placed(), cmpopts.IgnoreFields(Instance{}, "State", "Missed", "Incarnation")); diff != "" && version == table.Version() {
					t.Errorf("placement changed but not its version:\n%s", diff)
				}
			}
			ids := []string{}
			for _, i := range table.Placed() {
				ids = append(ids, i.ID)
			}
			if diff := cmp.Diff(test.want, ids); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestProbesAfterRestart guards against heartbeats whose number grows with the instances: after a restart of all of them each
// probed all others at once, and all probed the same ones first.
func TestProbesAfterRestart(t *testing.T) {
	for _, instances := range []int{20, 100, 300} {
		all := makeInstances(instances)
		probed := make(map[string]int)
		const rounds = 3
		for _, self := range all {
			table := NewTable(self)
			table.PresumeUnproven()
			table.ApplyRoster(all, epoch)
			for range rounds {
				targets := table.Targets(epoch)
				if len(targets) > fanout+1 {
					t.Fatalf("%d heartbeats in one round among %d instances", len(targets), instances)
				}
				for _, i := range targets {
					probed[i.ID]++
					table.Answered(i, false, epoch)
				}
			}
		}
		for id, n := range probed {
			// Partners are chosen at random, so that some instances are chosen by several times as many as others.
			if n > 4*rounds*(fanout+1) {
				t.Errorf("%s is probed %d times in %d rounds among %d instances", id, n, rounds, instances)
			}
		}
	}
}

// TestRumourOfPresumed guards against a dead instance that stays in the placement because it was never probed, and against
// probing each instance that a rumour confirms.
func TestRumourOfPresumed(t *testing.T) {
	tests := map[string]struct {
		state State
		want  bool
	}{
		"rumour confirms":    {state: Alive, want: false},
		"rumour says dead":   {state: Dead, want: true},
		"rumour says leaves": {state: Leaving, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable(selfInstance())
			table.PresumeUnproven()
			table.ApplyRoster([]Instance{{ID: "b", Address: "127.0.0.1:2b", Domain: "r/a"}, {ID: "self"}}, epoch)
			table.ApplyRumours([]Rumour{{ID: "b", Address: "127.0.0.1:2b", Domain: "r/a", Incarnation: 7, State: test.state}}, epoch)
			_, urgent := table.urgent["b"]
			if diff := cmp.Diff(test.want, urgent); diff != "" {
				t.Error(diff)
			}
		})
	}
}
