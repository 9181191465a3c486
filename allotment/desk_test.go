package allotment

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/config"
	"siskincove/member"
)

// TestAsks guards against a request for each caller of a crowd, and against a crowd that waits for one account while others could
// grant as much.
func TestAsks(t *testing.T) {
	accounts := []string{"a", "b", "c"}
	tests := map[string]struct {
		available                      []string
		waiting, pending, asked, ahead int
		want                           []Ask
	}{
		"one caller":                    {available: accounts, waiting: 1, want: []Ask{{Address: "a", Wanted: 1}}},
		"one that waits already":        {available: accounts, waiting: 1, pending: 1, asked: 1},
		"few behind a request":          {available: accounts, waiting: 4, pending: 1, asked: 1},
		"few":                           {available: accounts, waiting: 4, want: []Ask{{Address: "a", Wanted: 4}}},
		"crowd":                         {available: accounts, waiting: 100, want: []Ask{{Address: "a", Wanted: 34}, {Address: "b", Wanted: 33}, {Address: "c", Wanted: 33}}},
		"crowd behind a request":        {available: accounts[1:], waiting: 101, pending: 1, asked: 1, want: []Ask{{Address: "b", Wanted: 50}, {Address: "c", Wanted: 50}}},
		"no account left":               {waiting: 5},
		"ahead of a busy workspace":     {available: accounts, waiting: 1, ahead: 6, want: []Ask{{Address: "a", Wanted: 1, Ahead: 6}}},
		"ahead without callers":         {available: accounts, ahead: 6, want: []Ask{{Address: "a", Ahead: 6}}},
		"ahead is not asked twice":      {available: accounts[1:], ahead: 6, pending: 6, asked: 1},
		"all callers are accounted for": {available: accounts, waiting: 2, pending: 3, asked: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, Asks(test.available, test.waiting, test.pending, test.asked, test.ahead)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHotWorkspace guards against a flood of one workspace's callers that costs a request each although nothing is left, or makes
// all of them come back at once: a desk that knows all accounts to be empty refuses without asking until one may
// have gained something.
func TestHotWorkspace(t *testing.T) {
	d := NewDesk(config.Workspace{Name: "w", Rate: 10, Burst: 10}, testBounds, 1)
	d.SetAccounts([]string{"a", "b"})
	now, asked := testStart, 0
	var last time.Duration
	for n := range 200 {
		d.Arrive(now)
		asks, outcome := d.Next(now)
		for len(asks) > 0 {
			asked += len(asks)
			for _, a := range asks {
				d.Answered(a, Grant{Lifetime: time.Second, After: 500 * time.Millisecond}, now, now)
			}
			asks, outcome = d.Next(now)
		}
		if diff := cmp.Diff(Exhausted, outcome); diff != "" {
			t.Fatal(diff)
		}
		after := d.Refuse(now)
		if after < last && after < maxRetryAfter {
			t.Fatalf("caller %d comes back after %s, the one before after %s", n, after, last)
		}
		last = after + time.Millisecond
		now = now.Add(time.Millisecond)
	}
	if diff := cmp.Diff(2, asked); diff != "" {
		t.Errorf("requests: %s", diff)
	}
	if _, outcome := d.Next(now.Add(time.Second)); outcome != Waiting {
		t.Error("refuses a caller after the accounts may have gained something")
	}
}

// TestExpiry guards against starting operations that an account counts for an earlier window: a grant that is late, or not
// used in time, because the instance was suspended or the network slow.
func TestExpiry(t *testing.T) {
	tests := map[string]struct {
		// answered and used are when the grant arrives and the caller comes, after the request was sent.
		answered, used time.Duration
		want           bool
	}{
		"in time":               {answered: 10 * time.Millisecond, used: 20 * time.Millisecond, want: true},
		"grant is late":         {answered: 200 * time.Millisecond, used: 210 * time.Millisecond},
		"instance is suspended": {answered: 10 * time.Millisecond, used: 4 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDesk(config.Workspace{Name: "w", Rate: 10, Burst: 10}, testBounds, 1)
			a := Ask{Address: "a", Wanted: 1}
			d.Answered(a, Grant{Granted: 1, Lifetime: 100 * time.Millisecond}, testStart, testStart.Add(test.answered))
			if _, got := d.Arrive(testStart.Add(test.used)); got != test.want {
				t.Errorf("started: %v", got)
			}
		})
	}
}

// TestSilentAccounts guards against refusing callers without end, or letting them wait for an account that is known not to answer, when
// accounts are lost or cut off.
func TestSilentAccounts(t *testing.T) {
	d := NewDesk(config.Workspace{Name: "w", Rate: 10, Burst: 10}, testBounds, 1)
	d.SetAccounts([]string{"a", "b"})
	d.Arrive(testStart)
	fail := func(want string, now time.Time) {
		t.Helper()
		asks, _ := d.Next(now)
		if diff := cmp.Diff([]Ask{{Address: want, Wanted: 1}}, asks); diff != "" {
			t.Fatal(diff)
		}
		d.Unanswered(asks[0])
		d.Avoid(asks[0].Address, now)
	}
	fail("a", testStart)
	fail("b", testStart)
	if _, outcome := d.Next(testStart); outcome != Unreachable {
		t.Errorf("outcome %d, want Unreachable", outcome)
	}
	fail("a", testStart.Add(silencePause))
}

// TestAhead guards against a busy workspace whose callers each wait for an account, and against requests ahead in a circle to an
// account that grants none.
func TestAhead(t *testing.T) {
	tests := map[string]struct {
		ahead int
		want  int
	}{
		"granted":     {ahead: 100, want: 8},
		"not granted": {want: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := NewDesk(config.Workspace{Name: "w", Rate: 100, Burst: 100}, testBounds, 1)
			d.SetAccounts([]string{"a"})
			waited, asked, now := 0, 0, testStart
			for n := range 200 {
				now = now.Add(10 * time.Millisecond)
				_, started := d.Arrive(now)
				if !started && n >= 150 {
					waited++
				}
				asks, _ := d.Next(now)
				for range asks {
					asked++
					d.Answered(asks[0], Grant{Granted: asks[0].Wanted + min(asks[0].Ahead, test.ahead), Lifetime: d.share.Lifetime}, now, now)
				}
				if _, served := d.Serve(now); !started && !served {
					t.Fatal("no operation after a grant")
				}
			}
			if test.ahead > 0 && waited > test.want {
				t.Errorf("%d of 50 callers waited, want at most %d", waited, test.want)
			}
			if asked > 200+2*test.want {
				t.Errorf("%d requests for 200 operations", asked)
			}
		})
	}
}

// TestLowerAllotment guards against an allotment that is lowered but granted as before, and one that is raised but takes effect only
// after what was refused has been forgotten.
func TestLowerAllotment(t *testing.T) {
	share := func(rate float64) Share {
		return Divide(config.Workspace{Rate: rate, Burst: rate}, testBounds, 1)
	}
	tests := map[string]struct{ before, after float64 }{
		"lower":  {before: 100, after: 10},
		"higher": {before: 10, after: 100},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := NewAccount(share(test.before), testStart.Add(-time.Minute))
			a, _ = a.WithDraw(1, 0, testStart)
			a = a.WithShare(share(test.after), testStart)
			want := int(share(test.after).Rate)
			a, first := a.WithDraw(1000, 0, testStart)
			_, second := a.WithDraw(1000, 0, testStart.Add(time.Second))
			if first.Granted > int(share(test.after).Capacity) || second.Granted < min(want, int(share(test.after).Capacity))-1 || second.Granted > want+1 {
				t.Errorf("granted %d, and %d a second later, want %d", first.Granted, second.Granted, want)
			}
		})
	}
}

// TestNearest guards against requests to a distant account while a nearer one answers, and to a dead one.
func TestNearest(t *testing.T) {
	tests := map[string]struct {
		address string
		want    int
	}{
		"own instance":  {address: "self", want: 0},
		"own domain":    {address: "domain", want: 1},
		"own region":    {address: "region", want: 2},
		"other regions": {address: "far", want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := orderOfFour()
			if diff := cmp.Diff(test.address, got[test.want]); diff != "" {
				t.Errorf("%v: %s", got, diff)
			}
		})
	}
}

// orderOfFour returns the addresses of live accounts in the order in which an instance asks them.
func orderOfFour() []string {
	self := member.Instance{ID: "self", Address: "self", Domain: "r/a"}
	p := member.NewPlacement([]member.Instance{
		{ID: "far", Address: "far", Domain: "s/c"},
		{ID: "region", Address: "region", Domain: "r/b"},
		self,
		{ID: "dead", Address: "dead", Domain: "r/a", State: member.Dead},
		{ID: "domain", Address: "domain", Domain: "r/a"},
	})
	var out []string
	for _, i := range Nearest(p, "w", 5, []string{"r", "s"}, self) {
		out = append(out, i.Address)
	}
	return out
}
