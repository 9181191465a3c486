package loan

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
	"siskincove/verdict"
)

// errNotReached is the error of a holder that can't be reached.
var errNotReached = errors.New("not reached")

// holderNetwork connects borrowers to holders by their addresses. It does not reach an address without a holder.
type holderNetwork map[string]*holder

// Open connects a borrower to a holder.
func (n holderNetwork) Open(ctx context.Context, address string) (peer.Stream, error) {
	if h := n[address]; h != nil {
		return h.Open(ctx, address)
	}
	return nil, errNotReached
}

// workspaceTarget is an endpoint, on behalf of a workspace.
var workspaceTarget = connection.Target{Endpoint: config.Endpoint{Name: "e", Database: "d"}, Workspace: "w"}

// workspaceDialer returns a dialer that asks the holders "first" and "second" in this order.
func (n holderNetwork) workspaceDialer(ctx context.Context) Dialer {
	return Dialer{
		Context: ctx, Clock: clock.System{}, Logger: event.Discard(), Peers: n, OnUnreachable: func(string) {}, OnSilence: func() {},
		Health: NewHealth(clock.System{}), Spread: NewSpread(clock.System{}),
		Holders: func(connection.Target) []member.Instance {
			return []member.Instance{{ID: "first", Address: "first"}, {ID: "second", Address: "second"}}
		},
	}
}

func newHolderNetwork(t *testing.T) holderNetwork {
	t.Helper()
	return holderNetwork{"first": newHolder(t, 3), "second": newHolder(t, 3)}
}

func mustDial(t *testing.T, d Dialer) *Conn {
	t.Helper()
	c, err := d.Dial(t.Context(), workspaceTarget, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := c.(*Conn)
	conn.SetClass(limit.Class{Name: "1", Weight: 1}, time.Time{})
	t.Cleanup(conn.Close)
	return conn
}

// TestNextHolder answers the patterns of a workspace's first holder that is lost, that leaves or that can't reach the endpoint: the
// statement that finds that out is not run, and the next one is served by the second holder.
func TestNextHolder(t *testing.T) {
	tests := map[string]struct {
		fail func(n holderNetwork, loan *Conn)
		// want is the reason why the statement that finds out is refused, empty if none does.
		want verdict.Reason
	}{
		"lost":    {fail: func(n holderNetwork, loan *Conn) { delete(n, "first"); loan.Close() }},
		"leaving": {fail: func(n holderNetwork, _ *Conn) { n["first"].holds = false }, want: verdict.Leaving},
		"endpoint not reached": {want: verdict.Unreachable, fail: func(n holderNetwork, _ *Conn) {
			pool := n["first"].pool
			n["first"].pool = connection.New(connection.Options{
				Dialer: unreachableEndpoint{}, Clock: clock.System{}, Logger: event.Discard(), Limit: 3, ByWorkspace: true,
			})
			pool.Close()
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newHolderNetwork(t)
			d := n.workspaceDialer(t.Context())
			loan := mustDial(t, d)
			mustExchange(t, loan, read("q1"))
			test.fail(n, loan)
			if test.want != "" {
				answers := mustExchange(t, loan, read("q2"))
				failure := answers[0].Failure
				if failure == nil || failure.Verdict != verdict.NotRun || failure.Reason != test.want || !errors.Is(failure, connection.ErrLender) {
					t.Errorf("the statement was refused with %v, want %s by the lender", failure, test.want)
				}
				<-loan.Broken()
			}
			mustExchange(t, mustDial(t, d), read("q3"))
			if diff := cmp.Diff([]string{"1 read "}, n["second"].executed()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// unreachableEndpoint refuses all connections.
type unreachableEndpoint struct{ connection.Dialer }

func (unreachableEndpoint) Dial(context.Context, connection.Target, time.Duration) (connection.Conn, error) {
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no connection to the endpoint")
}

// TestNoHolder guards against connections that nobody counts: an instance that reaches no holder refuses, and blames the lenders.
func TestNoHolder(t *testing.T) {
	d := holderNetwork{}.workspaceDialer(t.Context())
	_, err := d.Dial(t.Context(), workspaceTarget, time.Second)
	if got := verdict.From(err); got.Verdict != verdict.NotRun || got.Reason != verdict.Unreachable || !errors.Is(got, connection.ErrLender) {
		t.Errorf("got %v", err)
	}
}

// TestCrowdedWorkspace answers the pattern of a workspace with more statements than a holder may have in flight: its loans are
// spread over two holders while that lasts, and come back to the first.
func TestCrowdedWorkspace(t *testing.T) {
	const loans = 40
	manual := clock.NewManual(time.Unix(1_000_000, 0))
	d := Dialer{Spread: NewSpread(manual), Health: NewHealth(manual), Holders: newHolderNetwork(t).workspaceDialer(t.Context()).Holders}
	countFirst := func() int {
		n := 0
		for range loans {
			if d.askable(workspaceTarget)[0].Address == "first" {
				n++
			}
		}
		return n
	}
	d.Spread.recordCrowding("e", "other")
	if got := countFirst(); got != loans {
		t.Errorf("%d of %d loans begin with the first holder, want all", got, loans)
	}
	d.Spread.recordCrowding("e", "w")
	if got := countFirst(); got == 0 || got == loans {
		t.Errorf("%d of %d loans of a crowded workspace begin with the first holder", got, loans)
	}
	manual.Advance(crowdingTime)
	if got := countFirst(); got != loans {
		t.Errorf("%d of %d loans begin with the first holder when the workspace is no longer crowded", got, loans)
	}
}

// TestHolderReportsCrowding checks that a holder reports the workspace that alone has more statements than may be in flight.
func TestHolderReportsCrowding(t *testing.T) {
	h := newHolder(t, 3)
	h.pool = connection.New(connection.Options{
		Dialer: h.endpoint, Clock: clock.System{}, Logger: event.Discard(), Limit: 3, InFlight: 1, ByWorkspace: true,
	})
	current := &loan{lender: h.lender, request: &wire.Loan{Workspace: "w"}}
	demand := connection.Demand{Workspace: "w", Class: limit.Class{Name: "1", Weight: 1}, Deadline: deadlineIn(time.Second)}
	held, err := h.pool.Acquire(t.Context(), demand)
	if err != nil {
		t.Fatal(err)
	}
	if current.isCrowded() {
		t.Error("reported as crowded with one statement")
	}
	queued := make(chan struct{})
	go func() {
		defer close(queued)
		if c, err := h.pool.Acquire(t.Context(), demand); err == nil {
			h.pool.Release(c, true, time.Millisecond)
		}
	}()
	for end := time.Now().Add(time.Second); !current.isCrowded(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reported as crowded with two statements")
		}
	}
	if (&loan{lender: h.lender, request: &wire.Loan{Workspace: "other"}}).isCrowded() {
		t.Error("another workspace is reported as crowded")
	}
	h.pool.Release(held, true, time.Millisecond)
	<-queued
}

// TestReturnToFirstHolder checks that a loan from the second holder ends after a while, so that the workspace's statements meet at
// the first one again.
func TestReturnToFirstHolder(t *testing.T) {
	n := newHolderNetwork(t)
	d := n.workspaceDialer(t.Context())
	manual := clock.NewManual(time.Now())
	d.Clock = manual
	d.Health.recordUnreachable("first", "e")
	loan := mustDial(t, d)
	exchange := func() {
		if _, err := loan.Exchange(t.Context(), manual.Now().Add(time.Second), statement.ProxyStep(statement.Begin)); err != nil {
			t.Fatal(err)
		}
	}
	exchange()
	manual.Advance(otherHolderTime)
	exchange()
	if _, err := loan.Exchange(t.Context(), manual.Now().Add(time.Second), statement.ProxyStep(statement.Commit)); err != nil {
		t.Fatalf("an open transaction was ended: %v", err)
	}
	<-loan.Broken()
}

// TestGuardedExchange guards against a statement that runs by itself after its transaction was refused: the holder sends it only
// once the transaction has begun, though the borrower asks for both at once.
func TestGuardedExchange(t *testing.T) {
	steps := []statement.Step{
		statement.ProxySet("zone", "utc"), statement.ProxyStep(statement.Begin), read("q1"), statement.ProxyStep(statement.Rollback),
	}
	const guard = 2
	tests := map[string]struct {
		refuses statement.Kind
		want    []string
	}{
		"begun":         {want: []string{"1 set zone", "1 begin ", "1 read ", "1 rollback "}},
		"begin refused": {refuses: statement.Begin, want: []string{"1 set zone", "1 begin "}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := newHolderNetwork(t)
			n["first"].endpoint.refuses = test.refuses
			loan := mustDial(t, n.workspaceDialer(t.Context()))
			answers, supported, err := loan.ExchangeGuarded(t.Context(), deadlineIn(time.Second), guard, steps...)
			if err != nil || !supported || len(answers) < guard {
				t.Fatalf("%d answers, supported %t, %v", len(answers), supported, err)
			}
			if refused := answers[guard-1].Failure != nil; refused != (test.refuses != 0) {
				t.Errorf("begin was answered with %+v", answers[guard-1])
			}
			if diff := cmp.Diff(test.want, n["first"].executed()); diff != "" {
				t.Error(diff)
			}
			mustExchange(t, loan, read("q2"))
		})
	}
}
