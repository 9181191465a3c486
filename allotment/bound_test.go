package allotment

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"siskincove/config"
)

var testBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Tolerance: 20}

// testStart is an arbitrary time at which tests begin.
var testStart = time.Unix(1000, 0)

// message is a request for operations, or its answer, on its way between an instance and an account.
type message struct {
	instance, account int
	ask               Ask
	sent              time.Time
	grant             *Grant
}

// fleet is a model of instances and of the accounts of one workspace, without clocks or sockets.
type fleet struct {
	workspace config.Workspace
	now       time.Time
	accounts  []Account
	desks     []*Desk
	messages  []message
	// cut holds the pairs of instance and account that can't reach each other.
	cut map[[2]int]bool
	// opened are the times at which each account started anew.
	opened [][]time.Time
	// limits are the allotments that were in force from a time on.
	limits []limitChange
	starts []time.Time
}

// limitChange is an allotment and the time from which no account uses an earlier one.
type limitChange struct {
	from, until time.Time
	allowed     float64
}

const (
	fleetRegions   = 3
	fleetInstances = 4
)

func newFleet(w config.Workspace) *fleet {
	f := &fleet{workspace: w, now: testStart, cut: make(map[[2]int]bool)}
	share := Divide(w, testBounds, fleetRegions)
	var addresses []string
	for n := range share.PerRegion * fleetRegions {
		f.accounts = append(f.accounts, NewAccount(share, testStart.Add(-time.Minute)))
		addresses = append(addresses, fmt.Sprint(n))
	}
	f.opened = make([][]time.Time, len(f.accounts))
	for n := range fleetInstances {
		d := NewDesk(w, testBounds, fleetRegions)
		d.SetAccounts(slices.Concat(addresses[n%len(addresses):], addresses[:n%len(addresses)]))
		f.desks = append(f.desks, d)
	}
	f.limits = []limitChange{{from: time.Time{}, until: time.Unix(1<<40, 0), allowed: testBounds.Allowed(w)}}
	return f
}

// arrive lets callers arrive at an instance.
func (f *fleet) arrive(instance, callers int) {
	for range callers {
		if _, ok := f.desks[instance].Arrive(f.now); ok {
			f.start()
		}
		f.advance(instance)
	}
}

func (f *fleet) start() {
	f.starts = append(f.starts, f.now)
}

// advance does what a limiter does for a desk.
func (f *fleet) advance(instance int) {
	d := f.desks[instance]
	for {
		if _, ok := d.Serve(f.now); !ok {
			break
		}
		f.start()
	}
	asks, outcome := d.Next(f.now)
	for _, a := range asks {
		var account int
		_, _ = fmt.Sscan(a.Address, &account)
		f.messages = append(f.messages, message{instance: instance, account: account, ask: a, sent: f.now})
	}
	for outcome != Waiting && d.waiting > 0 {
		d.Refuse(f.now)
	}
}

// deliver delivers a message, or loses it.
func (f *fleet) deliver(n int, lost bool) {
	m := f.messages[n]
	f.messages = slices.Delete(f.messages, n, n+1)
	switch {
	case lost || f.cut[[2]int{m.instance, m.account}]:
		f.desks[m.instance].Unanswered(m.ask)
		f.desks[m.instance].Avoid(m.ask.Address, f.now)
		f.advance(m.instance)
	case m.grant == nil:
		var g Grant
		f.accounts[m.account], g = f.accounts[m.account].WithDraw(m.ask.Wanted, m.ask.Ahead, f.now)
		m.grant = &g
		f.messages = append(f.messages, m)
	default:
		f.desks[m.instance].Answered(m.ask, *m.grant, m.sent, f.now)
		f.advance(m.instance)
	}
}

// flush delivers what is on its way.
func (f *fleet) flush() {
	for n := 0; len(f.messages) > 0 && n < 100; n++ {
		f.deliver(0, false)
	}
}

// flood lets more callers arrive at all instances than the workspace may run, for a time.
func (f *fleet) flood(duration time.Duration) {
	const interval = 100 * time.Millisecond
	callers := 1 + int(2*(f.workspace.Rate*interval.Seconds()+f.workspace.Burst/testBounds.Window.Seconds()))
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(interval) {
		for instance := range f.desks {
			f.arrive(instance, callers)
		}
		f.flush()
	}
}

// giveUp lets callers arrive at an instance that do not wait for the answers of the accounts, which come later.
func (f *fleet) giveUp(instance, callers int) {
	f.arrive(instance, callers)
	for f.desks[instance].waiting > 0 {
		f.desks[instance].GiveUp()
	}
	f.flush()
}

// reopen starts an account anew, at most as often in a window as the reserve allows.
func (f *fleet) reopen(account int) {
	recent := slices.DeleteFunc(f.opened[account], func(t time.Time) bool { return f.now.Sub(t) > testBounds.Window+maxLifetime })
	if len(recent) < restartsPerWindow {
		f.accounts[account] = NewAccount(f.accounts[account].bucket.share, f.now)
		recent = append(recent, f.now)
	}
	f.opened[account] = recent
}

// change sets another rate, at all accounts after one another.
func (f *fleet) change(rate float64) {
	f.workspace.Rate, f.workspace.Burst = rate, rate
	share := Divide(f.workspace, testBounds, fleetRegions)
	f.limits = append(f.limits, limitChange{from: f.now, until: time.Unix(1<<40, 0), allowed: testBounds.Allowed(f.workspace)})
	for n := range f.accounts {
		f.now = f.now.Add(50 * time.Millisecond)
		f.accounts[n] = f.accounts[n].WithShare(share, f.now)
	}
	f.limits[len(f.limits)-2].until = f.now
	for _, d := range f.desks {
		d.SetWorkspace(f.workspace, testBounds, fleetRegions)
	}
}

// allowed returns the most operations that may start between two times: those of the highest allotment then.
func (f *fleet) allowed(from, to time.Time) float64 {
	most := 0.0
	for _, l := range f.limits {
		if !l.from.After(to) && l.until.After(from.Add(-maxLifetime)) {
			most = max(most, l.allowed)
		}
	}
	return most
}

// check returns the first window in which more operations started than are allowed.
func (f *fleet) check() error {
	first := 0
	for n, t := range f.starts {
		for t.Sub(f.starts[first]) >= testBounds.Window {
			first++
		}
		if count := n + 1 - first; float64(count) > f.allowed(f.starts[first], t) {
			return fmt.Errorf("%d operations started within %s until %s, allowed are %.0f", count, testBounds.Window, t.Sub(testStart), f.allowed(f.starts[first], t))
		}
	}
	return nil
}

// TestBound guards against running more operations of a workspace than its allotment: a workspace that sends many times its usual
// at all instances, while requests and answers are lost or late, instances can't reach accounts, stand still or restart,
// and the allotment changes. Every sliding window is checked.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := func(label string) float64 {
			return rapid.SampledFrom([]float64{3.5, 16, 89, 320}).Draw(t, label)
		}
		first := rate("rate")
		f := newFleet(config.Workspace{Name: "w", Rate: first, Burst: first})
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"arrive", "arrive", "deliver", "deliver", "deliver", "flush", "flush", "time", "time", "pause", "flood", "flood", "cut", "give up", "give up", "reopen", "restart", "restart", "change"}).Draw(t, "step") {
			case "arrive":
				f.arrive(rapid.IntRange(0, fleetInstances-1).Draw(t, "instance"), rapid.IntRange(1, 200).Draw(t, "callers"))
			case "deliver":
				if len(f.messages) > 0 {
					f.deliver(rapid.IntRange(0, len(f.messages)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "lost") == 0)
				}
			case "flush":
				f.flush()
			case "give up":
				f.giveUp(rapid.IntRange(0, fleetInstances-1).Draw(t, "instance"), rapid.IntRange(1, 500).Draw(t, "callers"))
			case "flood":
				f.flood(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
			case "time":
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			case "pause":
				f.now = f.now.Add(time.Duration(rapid.IntRange(300, 6000).Draw(t, "ms")) * time.Millisecond)
			case "cut":
				pair := [2]int{rapid.IntRange(0, fleetInstances-1).Draw(t, "instance"), rapid.IntRange(0, len(f.accounts)-1).Draw(t, "account")}
				f.cut[pair] = !f.cut[pair]
			case "reopen":
				f.reopen(rapid.IntRange(0, len(f.accounts)-1).Draw(t, "account"))
			case "restart":
				for n := range f.accounts {
					f.reopen(n)
				}
				f.flood(time.Second)
			case "change":
				f.change(rate("rate"))
			}
		}
		if err := f.check(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestBoundScenarios guards against exceeding the bound in the failures of docs/design/allotments.md, each under a workspace that sends
// more than it may run.
func TestBoundScenarios(t *testing.T) {
	tests := map[string]func(f *fleet){
		"flood": func(f *fleet) { f.flood(12 * time.Second) },
		"all restart twice": func(f *fleet) {
			f.flood(time.Second)
			for range 2 {
				for n := range f.accounts {
					f.reopen(n)
				}
				f.flood(2 * time.Second)
			}
		},
		"all restart after a long flood": func(f *fleet) {
			f.flood(12 * time.Second)
			for n := range f.accounts {
				f.reopen(n)
			}
			f.flood(6 * time.Second)
		},
		"operations are granted and not started": func(f *fleet) {
			f.giveUp(0, 2000)
			f.now = f.now.Add(4 * time.Second)
			f.giveUp(1, 2000)
			f.now = f.now.Add(4 * time.Second)
			f.flood(6 * time.Second)
		},
		"instances are split in halves": func(f *fleet) {
			for instance := range f.desks {
				for account := range f.accounts {
					f.cut[[2]int{instance, account}] = instance%2 != account%2
				}
			}
			f.flood(12 * time.Second)
		},
		"accounts stand still and wake": func(f *fleet) {
			f.flood(time.Second)
			f.now = f.now.Add(4 * time.Second)
			f.flood(6 * time.Second)
		},
	}
	for name, scenario := range tests {
		for _, rate := range []float64{3.5, 39, 320} {
			t.Run(fmt.Sprintf("%s at %.1f/s", name, rate), func(t *testing.T) {
				f := newFleet(config.Workspace{Name: "w", Rate: rate, Burst: rate})
				scenario(f)
				if err := f.check(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}
