package dispatch

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/event"
	"siskincove/loan"
	"siskincove/member"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
	"siskincove/verdict"
)

// reaction is what a grey endpoint does with a step.
type reaction int

const (
	runs reaction = iota
	// refuses has no effect and says so.
	refuses
	// fails has no effect, but does not say so.
	fails
	// failsAfter has its effect and is answered with a failure.
	failsAfter
	// breaks has its effect and ends the connection instead of an answer.
	breaks
)

// expectation is what a caller was acknowledged when it sent a statement.
type expectation struct {
	settings map[string]string
	// shape is the text of the prepared statement that it executes, empty for none.
	shape string
	// transaction is the number of the caller's transaction, 0 for none.
	transaction int
}

// greyEndpoints are endpoints that react to a part of the steps otherwise than by running them. They check each caller's statement
// against what its caller was acknowledged.
type greyEndpoints struct {
	mu        sync.Mutex
	reactions []reaction
	// only, if set, is the kind of the steps that the reactions concern.
	only       statement.Kind
	expected   map[string]expectation
	homes      map[int]*greyConn
	violations []string
	sent       []string
}

func (g *greyEndpoints) Dial(context.Context, connection.Target, time.Duration) (connection.Conn, error) {
	return &greyConn{endpoints: g, broken: make(chan struct{}), settings: map[string]string{}, prepared: map[string]string{}}, nil
}

func (g *greyEndpoints) DialOver(context.Context, connection.Target, net.Conn) (connection.Conn, error) {
	return nil, errCut
}

func (g *greyEndpoints) next(k statement.Kind) reaction {
	if len(g.reactions) == 0 || g.only != 0 && g.only != k {
		return runs
	}
	r := g.reactions[0]
	g.reactions = g.reactions[1:]
	return r
}

// greyConn is a connection to a grey endpoint, with its true state.
type greyConn struct {
	endpoints *greyEndpoints
	broken    chan struct{}
	settings  map[string]string
	prepared  map[string]string
	state     statement.State
}

func (c *greyConn) RoundTrip() time.Duration { return 0 }

func (c *greyConn) Broken() <-chan struct{} { return c.broken }

// Close closes the connection, which rolls back its transaction. The lock of the endpoints is not held.
func (c *greyConn) Close() {
	c.endpoints.mu.Lock()
	defer c.endpoints.mu.Unlock()
	c.close()
}

func (c *greyConn) close() {
	c.state = statement.Idle
	select {
	case <-c.broken:
	default:
		close(c.broken)
	}
}

func (c *greyConn) Exchange(_ context.Context, _ time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	c.endpoints.mu.Lock()
	defer c.endpoints.mu.Unlock()
	var answers []statement.Answer
	for _, s := range steps {
		c.endpoints.sent = append(c.endpoints.sent, fmt.Sprintf("%s %s", s.Kind, s.ID))
		failure, lost := c.react(s)
		if lost {
			c.close()
			return answers, errCut
		}
		answers = append(answers, statement.Answer{Failure: failure, State: c.state, Position: position, Receipt: s.ID})
	}
	return answers, nil
}

// react runs a step as the endpoint's next reaction says. It returns true if the connection ends.
func (c *greyConn) react(s statement.Step) (*verdict.Error, bool) {
	ends := s.Kind == statement.Rollback || s.Kind == statement.Commit
	if c.state == statement.Failed && !ends {
		return verdict.New(verdict.NotRun, verdict.Malformed, "transaction has failed"), false
	}
	reaction := c.endpoints.next(s.Kind)
	if reaction == refuses {
		return verdict.New(verdict.NotRun, verdict.Overload, "busy"), false
	}
	if reaction != fails {
		if failure := c.run(s); failure != nil {
			return failure, false
		}
	}
	if reaction == runs || reaction == breaks {
		return nil, reaction == breaks
	}
	if c.state == statement.Open {
		c.state = statement.Failed
	}
	return verdict.New(verdict.Ran, verdict.Failed, "failed"), false
}

func (c *greyConn) run(s statement.Step) *verdict.Error {
	switch s.Kind {
	case statement.Begin, statement.BeginRead:
		c.state = statement.Open
	case statement.Set:
		c.settings[s.Name] = s.Value
	case statement.Reset:
		clear(c.settings)
		clear(c.prepared)
	case statement.Prepare:
		c.prepared[s.Name] = s.Value
	case statement.Rollback:
		c.state = statement.Idle
	default:
		return c.check(s)
	}
	return nil
}

// check runs a caller's statement.
func (c *greyConn) check(s statement.Step) *verdict.Error {
	g, want := c.endpoints, c.endpoints.expected[s.ID]
	if !maps.Equal(c.settings, want.settings) {
		g.violations = append(g.violations, fmt.Sprintf("%s %s ran with %v, want %v", s.Kind, s.ID, c.settings, want.settings))
	}
	if want.transaction != 0 {
		// Until its first statement has succeeded, a transaction may begin anew on another connection.
		home := g.homes[want.transaction]
		g.homes[want.transaction] = c
		if home != nil && home != c && home.state == statement.Open {
			g.violations = append(g.violations, fmt.Sprintf("%s %s ran on another connection than its transaction", s.Kind, s.ID))
		}
		if c.state != statement.Open {
			g.violations = append(g.violations, fmt.Sprintf("%s %s ran outside its transaction", s.Kind, s.ID))
		}
	} else if s.Writes && c.state != statement.Idle {
		g.violations = append(g.violations, fmt.Sprintf("%s %s ran inside a transaction of others", s.Kind, s.ID))
	}
	if s.Kind == statement.Commit {
		c.state = statement.Idle
	}
	if s.Kind != statement.Execute {
		return nil
	}
	shape, known := c.prepared[s.Name]
	if shape != want.shape {
		g.violations = append(g.violations, fmt.Sprintf("execute %s ran %q, want %q", s.ID, shape, want.shape))
	}
	if !known {
		return verdict.New(verdict.NotRun, verdict.Unprepared, "no such name")
	}
	return nil
}

// greyCaller is a session with what it was acknowledged.
type greyCaller struct {
	session     *Session
	settings    map[string]string
	shapes      map[string]string
	transaction int
}

// greyWorld has several callers on a primary and a replica that are grey.
type greyWorld struct {
	endpoints    *greyEndpoints
	callers      []*greyCaller
	dispatcher   *Dispatcher
	cancel       context.CancelFunc
	requests     int
	transactions int
}

// greyHolder lends connections to grey endpoints.
type greyHolder struct {
	ctx    context.Context
	lender *loan.Lender
}

func newGreyHolder(ctx context.Context, e *greyEndpoints) greyHolder {
	pools := make(map[string]*connection.Pool)
	for _, name := range []string{"p", "r"} {
		pools[name] = connection.New(connection.Options{Dialer: e, Clock: clock.System{}, Logger: event.Discard(), Limit: 2, Context: ctx})
	}
	return greyHolder{ctx: ctx, lender: loan.NewLender(loan.Options{
		Clock: clock.System{}, Logger: event.Discard(), IdleTimeout: func() time.Duration { return time.Minute },
		Pool: func(l *wire.Loan) (*connection.Pool, bool) { return pools[l.GetEndpoint()], true },
	})}
}

// Open connects a borrower to the holder.
func (h greyHolder) Open(ctx context.Context, _ string) (peer.Stream, error) {
	borrowerEnd, holderEnd := peer.Pipe(ctx)
	go func() {
		if frame, err := holderEnd.Receive(); err == nil {
			h.lender.Serve(h.ctx, frame.GetLoan(), holderEnd)
		}
		_ = holderEnd.Close()
	}()
	return borrowerEnd, nil
}

// dialer returns a dialer that borrows the holder's connections.
func (h greyHolder) dialer() connection.Dialer {
	return loan.Dialer{
		Context: h.ctx, Clock: clock.System{}, Logger: event.Discard(), Peers: h, OnUnreachable: func(string) {}, OnSilence: func() {},
		Health: loan.NewHealth(clock.System{}), Spread: loan.NewSpread(clock.System{}),
		Holders: func(connection.Target) []member.Instance { return []member.Instance{{ID: "holder", Address: "holder"}} },
	}
}

func newGreyWorld(callers int, borrows bool, only statement.Kind, reactions ...reaction) *greyWorld {
	ctx, cancel := context.WithCancel(context.Background())
	e := &greyEndpoints{reactions: reactions, only: only, expected: map[string]expectation{}, homes: map[int]*greyConn{}}
	dialer := connection.Dialer(e)
	if borrows {
		dialer = newGreyHolder(ctx, e).dialer()
	}
	registry := database.NewRegistry(database.Options{Dialer: dialer, Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return time.Minute }})
	c := catalog()
	registry.Configure(c, map[string]string{"db": "p"}, 1)
	w := &greyWorld{endpoints: e, cancel: cancel}
	w.dispatcher = New(ctx, Options{Domain: "north/a", Catalogs: catalogs{c}, Databases: registry, Clock: clock.System{}, Logger: event.Discard()})
	for n := range callers {
		route := []string{"main", "history"}[n%2]
		s, _ := w.dispatcher.Open(ctx, statement.StartupParameters{Database: route})
		w.callers = append(w.callers, &greyCaller{session: s, settings: map[string]string{}, shapes: map[string]string{}})
	}
	return w
}

func (w *greyWorld) end() {
	w.cancel()
	<-w.dispatcher.Done()
}

// ask runs a request of a caller and returns its answer.
func (w *greyWorld) ask(c *greyCaller, r statement.Request) statement.Answer {
	w.requests++
	r.ID = fmt.Sprint(w.requests)
	if (r.Kind == statement.Begin || r.Kind == statement.BeginRead) && c.transaction == 0 {
		w.transactions++
		c.transaction = w.transactions
	}
	w.endpoints.mu.Lock()
	w.endpoints.expected[r.ID] = expectation{settings: maps.Clone(c.settings), shape: c.shapes[r.Name], transaction: c.transaction}
	w.endpoints.mu.Unlock()
	a := c.session.Run(context.Background(), r)
	if a.Failure == nil && r.Kind == statement.Set {
		c.settings[r.Name] = r.Value
	}
	if a.Failure == nil && r.Kind == statement.Prepare {
		c.shapes[r.Name] = r.Value
	}
	if c.session.State() == statement.Idle {
		c.transaction = 0
	}
	return a
}

func set(value string) statement.Request {
	return statement.Request{Kind: statement.Set, Name: "lab", Value: value}
}

func prepare(name, shape string) statement.Request {
	return statement.Request{Kind: statement.Prepare, Name: name, Value: shape}
}

func execute(name string) statement.Request {
	return statement.Request{Kind: statement.Execute, Name: name, Value: "x"}
}

// TestFailedSetup guards against a statement that runs though a SET, RESET, PREPARE or BEGIN of the proxy before it has failed: with
// another session's values, with an unknown name or outside its transaction.
func TestFailedSetup(t *testing.T) {
	first, second := 0, 1
	type request struct {
		caller  int
		request statement.Request
	}
	setBy := func(caller int) request { return request{caller, set(fmt.Sprint(caller))} }
	tests := map[string]struct {
		only      statement.Kind
		reactions []reaction
		requests  []request
		want      outcome
	}{
		"set fails before a write": {
			only: statement.Set, reactions: []reaction{runs, fails},
			requests: []request{setBy(first), {first, write("")}, setBy(second), {second, write("")}}, want: outcome{Receipt: "4"},
		},
		"set is refused before a write": {
			only: statement.Set, reactions: []reaction{runs, refuses},
			requests: []request{setBy(first), {first, write("")}, setBy(second), {second, write("")}}, want: outcome{Receipt: "4"},
		},
		"set has an effect though it fails": {
			only: statement.Set, reactions: []reaction{runs, failsAfter},
			requests: []request{setBy(first), {first, write("")}, setBy(second), {second, write("")}, {first, write("")}}, want: outcome{Receipt: "5"},
		},
		"set fails before the begin of a read at the primary": {
			only: statement.Set, reactions: []reaction{runs, fails},
			requests: []request{setBy(first), {first, read("")}, setBy(2), {2, read("")}}, want: outcome{Receipt: "4"},
		},
		"set fails before the begin of a transaction": {
			only: statement.Set, reactions: []reaction{runs, fails},
			requests: []request{setBy(first), {first, write("")}, setBy(second), {second, control(statement.Begin)}, {second, write("")}},
			want:     outcome{Receipt: "5", State: statement.Open},
		},
		"set fails inside a transaction": {
			only: statement.Set, reactions: []reaction{fails},
			requests: []request{{first, control(statement.Begin)}, {first, write("")}, setBy(first), {first, write("")}},
			want:     outcome{Verdict: "not run", Reason: verdict.Failed, State: statement.Failed},
		},
		"reset fails": {
			only: statement.Reset, reactions: []reaction{fails},
			requests: []request{setBy(first), {first, write("")}, {second, write("")}}, want: outcome{Receipt: "3"},
		},
		"prepare fails before an execution": {
			only: statement.Prepare, reactions: []reaction{fails},
			requests: []request{{second, prepare("s", "q")}, {second, execute("s")}}, want: outcome{Receipt: "2"},
		},
		"prepare fails before a later execution": {
			only: statement.Prepare, reactions: []reaction{fails},
			requests: []request{{first, prepare("s", "q")}, {first, execute("s")}, {first, execute("s")}}, want: outcome{Receipt: "3"},
		},
		"prepare is refused inside a transaction": {
			only: statement.Prepare, reactions: []reaction{refuses},
			requests: []request{{first, control(statement.Begin)}, {first, read("")}, {first, prepare("s", "q")}, {first, execute("s")}},
			want:     outcome{Receipt: "4", State: statement.Open},
		},
		"prepare fails inside a transaction": {
			only: statement.Prepare, reactions: []reaction{fails},
			requests: []request{{first, control(statement.Begin)}, {first, read("")}, {first, prepare("s", "q")}, {first, execute("s")}},
			want:     outcome{Verdict: "not run", Reason: verdict.Failed, State: statement.Failed},
		},
		"begin fails": {
			only: statement.Begin, reactions: []reaction{fails},
			requests: []request{{first, control(statement.Begin)}, {first, write("")}}, want: outcome{Receipt: "2", State: statement.Open},
		},
		"connection is lost before a write": {
			only: statement.Set, reactions: []reaction{breaks},
			requests: []request{setBy(first), {first, write("")}}, want: outcome{Receipt: "2"},
		},
		"set is the last statement before the commit": {
			requests: []request{{first, control(statement.Begin)}, {first, write("")}, setBy(first), {first, control(statement.Commit)}},
			want:     outcome{Receipt: "4"},
		},
		"set fails before the commit": {
			only: statement.Set, reactions: []reaction{fails},
			requests: []request{{first, control(statement.Begin)}, {first, write("")}, setBy(first), {first, control(statement.Commit)}},
			want:     outcome{Verdict: "not run", Reason: verdict.Failed},
		},
		"rollback fails after a read at the primary": {
			only: statement.Rollback, reactions: []reaction{refuses},
			requests: []request{{first, read("")}, {first, write("")}}, want: outcome{Receipt: "2"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newGreyWorld(3, false, test.only, test.reactions...)
				defer w.end()
				var last statement.Answer
				for _, r := range test.requests {
					last = w.ask(w.callers[r.caller], r.request)
				}
				w.dispatcher.background.Wait()
				if diff := cmp.Diff(test.want, outcomeOf(last)); diff != "" {
					t.Error(diff)
				}
				for _, v := range w.endpoints.violations {
					t.Error(v)
				}
				if t.Failed() {
					t.Log(w.endpoints.sent)
				}
			})
		})
	}
}

// TestGreyEndpoint guards against statements that run with values or names other than those acknowledged to their caller, whatever
// sequence of failures an endpoint answers the proxy's own statements with.
func TestGreyEndpoint(t *testing.T) {
	const callers = 4
	type request struct {
		caller  int
		request statement.Request
	}
	requests := rapid.SampledFrom([]statement.Request{
		set("1"), set("2"),
		{Kind: statement.Set, Name: "zone", Value: "utc"},
		prepare("s1", "q1"), prepare("s1", "q2"), prepare("s2", "q1"), prepare("s1", equalChecksums[0]), prepare("s2", equalChecksums[1]), execute("s1"), execute("s2"), execute("s1"),
		read(""), write(""), write(""),
		{Kind: statement.Begin},
		{Kind: statement.BeginRead},
		{Kind: statement.Commit},
		{Kind: statement.Rollback},
	})
	rapid.Check(t, func(rt *rapid.T) {
		reactions := rapid.SliceOfN(rapid.SampledFrom([]reaction{runs, runs, runs, runs, refuses, fails, failsAfter, breaks}), 0, 200).Draw(rt, "reactions")
		sequence := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) request {
			return request{rapid.IntRange(0, callers-1).Draw(rt, "caller"), requests.Draw(rt, "request")}
		}), 1, 40).Draw(rt, "requests")
		borrows := rapid.Bool().Draw(rt, "borrows")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			w := newGreyWorld(callers, borrows, 0, reactions...)
			defer w.end()
			for _, r := range sequence {
				_, known := w.callers[r.caller].shapes[r.request.Name]
				a := w.ask(w.callers[r.caller], r.request)
				if a.Failure != nil && a.Failure.Reason == verdict.Unprepared && known {
					violations = append(violations, fmt.Sprintf("caller was told that an acknowledged name is unknown: %v", a.Failure))
				}
			}
			w.dispatcher.background.Wait()
			violations = append(violations, w.endpoints.violations...)
		})
		for _, v := range violations {
			rt.Error(v)
		}
	})
}
