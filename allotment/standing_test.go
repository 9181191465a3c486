package allotment

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/member"
)

// view is an instance with what it knows of the others.
type view struct {
	id      member.Instance
	table   *member.Table
	listed  bool
	started time.Time
	running bool
	// met is set once it has exchanged heartbeats with all others that it knew.
	met bool
	// keeping is set while it keeps the account.
	keeping bool
}

func (v *view) hasMetAll() bool {
	for _, i := range v.table.Instances() {
		if i.Incarnation == 0 {
			return false
		}
	}
	return true
}

// views is a model of instances that start, stop, are cut off and exchange heartbeats, without clocks or sockets.
type views struct {
	now time.Time
	all []*view
	// roster lists the instances that have registered themselves.
	roster map[string]member.Instance
	// side is the half of the network in which an instance is; only instances of the same half reach each other.
	side map[string]int
}

// startInstance starts an instance, which reads the roster and registers itself.
func (v *views) startInstance(n int) {
	i := member.Instance{ID: fmt.Sprintf("i%d", n), Address: fmt.Sprint(n), Domain: "r/a", Incarnation: uint64(v.now.UnixNano())}
	_, listed := v.roster[i.ID]
	started := &view{id: i, table: member.NewTable(i), listed: listed, started: v.now, running: true}
	v.roster[i.ID] = member.Instance{ID: i.ID, Address: i.Address, Domain: i.Domain}
	var list []member.Instance
	for _, other := range v.roster {
		list = append(list, other)
	}
	started.table.ApplyRoster(list, v.now)
	v.all[n] = started
}

// heartbeat exchanges a heartbeat, or lets the sender miss the reply.
func (v *views) heartbeat(from, to *view) {
	if !to.running || v.side[from.id.ID] != v.side[to.id.ID] {
		from.table.Missed(to.id.ID, v.now)
		return
	}
	to.table.Answered(from.table.Self(), from.table.Self().State == member.Leaving, v.now)
	from.table.Answered(to.table.Self(), to.table.Self().State == member.Leaving, v.now)
}

// leave stops an instance that announces it to everyone it reaches and deregisters.
func (v *views) leave(n int) {
	left := v.all[n]
	left.table.MarkLeaving(v.now)
	for _, other := range v.all {
		if other != nil && other != left && other.running && v.side[left.id.ID] == v.side[other.id.ID] {
			other.table.Answered(left.table.Self(), true, v.now)
		}
	}
	delete(v.roster, left.id.ID)
	left.running = false
}

// keepers returns how many instances keep an account that count instances may keep.
func (v *views) keepers(count int) int {
	n := 0
	for _, i := range v.all {
		if i == nil || !i.running {
			continue
		}
		standing := Standing{ID: i.id.ID, Listed: i.listed, RosterKnown: true, Age: v.now.Sub(i.started), Keeping: i.keeping}
		keeps, _ := standing.Keeps(ranked(member.NewPlacement(i.table.Known()), "w", "r", Candidates(count)), count)
		i.met = i.met || i.listed || i.hasMetAll()
		i.keeping = keeps
		if keeps {
			n++
		}
	}
	return n
}

// TestKeepers guards against two instances that grant the same share of an allotment: instances are split in halves, killed,
// started, stopped and added in any order, and learn of each other only by the roster at their start and by heartbeats.
func TestKeepers(t *testing.T) {
	const (
		instances = 1 + predecessors
		accounts  = 1
	)
	rapid.Check(t, func(t *rapid.T) {
		v := &views{now: testStart, all: make([]*view, instances), roster: make(map[string]member.Instance), side: make(map[string]int)}
		for n := range rapid.IntRange(1, instances).Draw(t, "first") {
			v.startInstance(n)
		}
		index := func(label string) int { return rapid.IntRange(0, instances-1).Draw(t, label) }
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			n := index("instance")
			i := v.all[n]
			switch step := rapid.SampledFrom([]string{"heartbeat", "heartbeat", "heartbeat", "everyone", "time", "start", "kill", "split", "leave"}).Draw(t, "step"); {
			case step == "time":
				v.now = v.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			case step == "split":
				v.side[fmt.Sprintf("i%d", n)] ^= 1
			case step == "start" && (i == nil || !i.running):
				v.startInstance(n)
			case i == nil || !i.running:
			case step == "kill":
				i.running = false
				if !i.met {
					// Not covered: an instance that is killed for the first time before it has met the others.
					delete(v.roster, i.id.ID)
				}
			case step == "leave":
				v.leave(n)
			case step == "heartbeat":
				if other := v.all[index("other")]; other != nil && other != i {
					v.heartbeat(i, other)
				}
			case step == "everyone":
				for _, other := range v.all {
					if other != nil && other != i {
						v.heartbeat(i, other)
					}
				}
			}
			if got := v.keepers(accounts); got > accounts {
				t.Fatalf("%d instances keep one account", got)
			}
		}
	})
}

// TestKeepsBesideNewInstance guards against an account that closes while a new instance has not answered yet.
func TestKeepsBesideNewInstance(t *testing.T) {
	self, added := member.Instance{ID: "a"}, member.Instance{ID: "b"}
	standing := Standing{ID: "a", RosterKnown: true, Age: settleTime}
	if keeps, unmet := standing.Keeps([]member.Instance{self, added}, 1); keeps || len(unmet) != 1 {
		t.Errorf("opens with %d unmet: %v", len(unmet), keeps)
	}
	standing.Keeping = true
	if keeps, _ := standing.Keeps([]member.Instance{self, added}, 1); !keeps {
		t.Error("closes beside a new instance that ranks lower")
	}
	if keeps, _ := standing.Keeps([]member.Instance{added, self}, 1); keeps {
		t.Error("keeps an account that another one ranks higher for")
	}
	standing.RosterKnown = false
	if keeps, _ := standing.Keeps([]member.Instance{self, added}, 1); keeps {
		t.Error("keeps an account without the roster")
	}
}

// TestReopenedAccount guards against an account that gains operations by closing and opening again.
func TestReopenedAccount(t *testing.T) {
	share := Share{Rate: 10, Capacity: 20, Initial: 3}
	k := &Keeper{started: testStart, options: Options{Bounds: testBounds}, accounts: make(map[string]Account), closed: make(map[string]closing)}
	listed := Standing{Listed: true, Age: settleTime}
	now := testStart.Add(settleTime)
	a := k.opened("w", share, listed, now)
	for range 5 {
		a, _ = a.WithDraw(100, 0, now)
		k.accounts["w"] = a
		k.close("w", now)
		a = k.opened("w", share, listed, now)
		if _, g := a.WithDraw(100, 0, now); g.Granted != 0 {
			t.Fatalf("grants %d operations after it was closed empty", g.Granted)
		}
	}
	_, g := k.opened("w", share, listed, now.Add(testBounds.Window+2*maxLifetime)).WithDraw(100, 0, now.Add(testBounds.Window+2*maxLifetime))
	if want := 3; g.Granted < want {
		t.Errorf("grants %d operations a window later, want %d", g.Granted, want)
	}
}

// lockedMembers reports whether a keeper's mutex was free when its rank was read.
type lockedMembers struct {
	keeper *Keeper
	free   bool
}

// Known returns a placement of one instance.
func (m *lockedMembers) Known() *member.Placement {
	if m.keeper.mu.TryLock() {
		m.free = true
		m.keeper.mu.Unlock()
	}
	return member.NewPlacement([]member.Instance{{ID: "a", Domain: "r/a"}})
}

func (m *lockedMembers) InstanceCount() (int, bool) { return 1, true }

func (m *lockedMembers) ProbeSoon(string) {}

// TestDecidesUnderMutex guards against an older decision that opens an account again after a newer one has closed it.
func TestDecidesUnderMutex(t *testing.T) {
	members := &lockedMembers{}
	catalog := config.NewCatalog(config.Set{Workspaces: []config.Workspace{{Name: "w", Rate: 10, Burst: 10}}})
	k := &Keeper{accounts: make(map[string]Account), closed: make(map[string]closing), options: Options{
		Self: member.Instance{ID: "a", Domain: "r/a"}, Clock: clock.System{}, Logger: event.Discard(), Members: members, Bounds: testBounds,
		Regions: []string{""}, Catalog: func() *config.Catalog { return catalog }, WasListed: func() bool { return true },
	}}
	members.keeper = k
	k.review()
	if g := k.draw("w", 1, 0); g.Absent || members.free {
		t.Errorf("absent %v, decided without the mutex %v", g.Absent, members.free)
	}
}
