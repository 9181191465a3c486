package dispatch

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/document"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
	"siskincove/statement"
	"siskincove/verdict"
)

var errCut = errors.New("connection was cut")

// script returns an endpoint's answers to the steps of one exchange.
type script func(steps []statement.Step) ([]statement.Answer, error)

// endpoints are scripted endpoints that record the steps sent to them.
type endpoints struct {
	mu      sync.Mutex
	scripts map[string][]script
	sent    []string
	dials   int
	// after holds the position that each step required, by request ID.
	after map[string]endpoint.Position
}

// Dial returns a connection to a scripted endpoint.
func (e *endpoints) Dial(_ context.Context, target connection.Target, _ time.Duration) (connection.Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	return &scripted{endpoints: e, name: target.Endpoint.Name, broken: make(chan struct{})}, nil
}

// DialOver is not used by these tests.
func (e *endpoints) DialOver(context.Context, connection.Target, net.Conn) (connection.Conn, error) {
	return nil, errCut
}

// scripted is a connection that answers with the endpoint's next script, or with success if none is left.
type scripted struct {
	endpoints *endpoints
	name      string
	broken    chan struct{}
}

func (c *scripted) RoundTrip() time.Duration { return 0 }

func (c *scripted) Broken() <-chan struct{} { return c.broken }

func (c *scripted) Close() {
	select {
	case <-c.broken:
	default:
		close(c.broken)
	}
}

func (c *scripted) Exchange(_ context.Context, _ time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	c.endpoints.mu.Lock()
	defer c.endpoints.mu.Unlock()
	for _, s := range steps {
		c.endpoints.sent = append(c.endpoints.sent, fmt.Sprintf("%s: %s %s", c.name, s.Kind, s.ID))
		if c.endpoints.after == nil {
			c.endpoints.after = make(map[string]endpoint.Position)
		}
		c.endpoints.after[s.ID] = s.After
	}
	remaining := c.endpoints.scripts[c.name]
	if len(remaining) == 0 {
		return succeed(steps)
	}
	c.endpoints.scripts[c.name] = remaining[1:]
	if remaining[0] == nil {
		return succeed(steps)
	}
	answers, err := remaining[0](steps)
	if err != nil {
		c.Close()
	}
	return answers, err
}

var position = endpoint.Position{Term: 3, Offset: 7}

// succeed answers every step with success; callers' statements get a receipt.
func succeed(steps []statement.Step) ([]statement.Answer, error) {
	var out []statement.Answer
	state := statement.Idle
	for _, s := range steps {
		a := statement.Answer{Position: position}
		switch s.Kind {
		case statement.Begin, statement.BeginRead:
			state = statement.Open
		case statement.Rollback, statement.Commit:
			state = statement.Idle
		}
		if s.ID != "" {
			a.Receipt = "receipt of " + s.ID
		}
		a.State = state
		out = append(out, a)
	}
	return out, nil
}

// fail answers the steps of one kind with a failure and all others with success.
func fail(kind statement.Kind, reason verdict.Reason, state statement.State) script {
	return func(steps []statement.Step) ([]statement.Answer, error) {
		out, _ := succeed(steps)
		for i, s := range steps {
			if s.Kind == kind {
				out[i] = statement.Answer{Failure: verdict.New(verdict.NotRun, reason, "scripted"), State: state, Position: position}
			}
		}
		return out, nil
	}
}

// cut closes the connection before any answer.
func cut([]statement.Step) ([]statement.Answer, error) { return nil, errCut }

// cutAfterAnswers closes the connection after all answers, as when the deadline passes at the same moment.
func cutAfterAnswers(steps []statement.Step) ([]statement.Answer, error) {
	out, _ := succeed(steps)
	return out, errCut
}

type catalogs struct{ catalog *config.Catalog }

func (c catalogs) Catalog() *config.Catalog { return c.catalog }

// catalog has a route for the primary and one for replicas, over a primary p and a replica r.
func catalog() *config.Catalog {
	limit := config.Limit{Name: "l", Deadline: document.Duration(300 * time.Millisecond)}
	return config.NewCatalog(config.Set{
		Databases: []config.Database{{Name: "db", Connections: 20}},
		Endpoints: []config.Endpoint{
			{Name: "p", Database: "db", Address: "127.0.0.1:1", Domain: "north/a"},
			{Name: "r", Database: "db", Address: "127.0.0.1:2", Domain: "north/a"},
		},
		Routes: []config.Route{
			{Name: "main", Database: "db", Reads: config.ReadsPrimary, Limit: "l"},
			{Name: "history", Database: "db", Reads: config.ReadsReplica, Limit: "l"},
		},
		Limits: []config.Limit{limit},
	})
}

// open returns a session on a route over scripted endpoints.
func open(t *testing.T, route string, scripts map[string][]script) (*Session, *endpoints) {
	t.Helper()
	e := &endpoints{scripts: scripts}
	ctx, cancel := context.WithCancel(context.Background())
	registry := database.NewRegistry(database.Options{Dialer: e, Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return time.Minute }})
	c := catalog()
	registry.Configure(c, map[string]string{"db": "p"}, 1)
	d := New(ctx, Options{Domain: "north/a", Catalogs: catalogs{c}, Databases: registry, Clock: clock.System{}, Logger: event.Discard()})
	t.Cleanup(func() {
		cancel()
		<-d.Done()
	})
	s, refused := d.Open(ctx, statement.StartupParameters{Database: route})
	if refused != nil {
		t.Fatal(refused)
	}
	return s, e
}

func read(id string) statement.Request {
	return statement.Request{ID: id, Kind: statement.Read, Text: "READ x"}
}

func write(id string) statement.Request {
	return statement.Request{ID: id, Kind: statement.Write, Text: "WRITE x 1", Writes: true}
}

func control(kind statement.Kind) statement.Request { return statement.Request{ID: "q", Kind: kind} }

// outcome is the part of an answer that a caller sees.
type outcome struct {
	Receipt string
	Verdict string
	Reason  verdict.Reason
	State   statement.State
}

func outcomeOf(a statement.Answer) outcome {
	o := outcome{Receipt: a.Receipt, State: a.State}
	if a.Failure != nil {
		o.Verdict, o.Reason = a.Failure.Verdict.String(), a.Failure.Reason
	}
	return o
}

func TestSession(t *testing.T) {
	tests := map[string]struct {
		route    string
		scripts  map[string][]script
		requests []statement.Request
		want     []outcome
		sent     []string
	}{
		"read at the primary runs inside a proxy transaction": {
			route: "main", requests: []statement.Request{read("1")},
			want: []outcome{{Receipt: "receipt of 1"}},
			sent: []string{"p: begin ", "p: read 1", "p: rollback "},
		},
		// Sent together with a begin that is refused, the statement would run outside the transaction.
		"statement is not sent after a refused begin": {
			route: "main", scripts: map[string][]script{"p": {fail(statement.Begin, verdict.NotPrimary, statement.Idle)}},
			requests: []statement.Request{read("1")},
			want:     []outcome{{Receipt: "receipt of 1"}},
			sent:     []string{"p: begin ", "r: begin ", "r: read 1", "r: rollback "},
		},
		// Guards against taking the answer to the proxy's begin for the answer to the read when it arrives just as the
		// deadline passes.
		"answer to the proxy's begin is never returned to the caller": {
			route: "main", scripts: map[string][]script{"p": {cutAfterAnswers}}, requests: []statement.Request{read("1")},
			want: []outcome{{Receipt: "receipt of 1"}},
			sent: []string{"p: begin ", "p: begin ", "p: read 1", "p: rollback "},
		},
		"write without an answer may have run and is not repeated": {
			route: "main", scripts: map[string][]script{"p": {cut}}, requests: []statement.Request{write("1")},
			want: []outcome{{Verdict: "may have run", Reason: verdict.Broken}},
			sent: []string{"p: write 1"},
		},
		"write that found no slot is repeated": {
			route: "main", scripts: map[string][]script{"p": {fail(statement.Write, verdict.Overload, statement.Idle)}},
			requests: []statement.Request{write("1")},
			want:     []outcome{{Receipt: "receipt of 1"}},
			sent:     []string{"p: write 1", "p: write 1"},
		},
		"read without an answer is tried at another endpoint": {
			route: "history", scripts: map[string][]script{"r": {cut}}, requests: []statement.Request{read("1")},
			want: []outcome{{Receipt: "receipt of 1"}},
			sent: []string{"r: read 1", "p: begin ", "p: read 1", "p: rollback "},
		},
		"read that is stale at a replica goes to the primary": {
			route: "history", scripts: map[string][]script{"r": {fail(statement.Read, verdict.Stale, statement.Idle)}},
			requests: []statement.Request{read("1")},
			want:     []outcome{{Receipt: "receipt of 1"}},
			sent:     []string{"r: read 1", "p: begin ", "p: read 1", "p: rollback "},
		},
		"transaction begins with its first statement": {
			route: "main", requests: []statement.Request{control(statement.Begin), write("1"), read("2"), control(statement.Commit)},
			want: []outcome{{State: statement.Open}, {Receipt: "receipt of 1", State: statement.Open}, {Receipt: "receipt of 2", State: statement.Open}, {Receipt: "receipt of q"}},
			sent: []string{"p: begin ", "p: write 1", "p: read 2", "p: commit q"},
		},
		"empty transaction sends nothing": {
			route: "main", requests: []statement.Request{control(statement.Begin), control(statement.Rollback)},
			want: []outcome{{State: statement.Open}, {}},
		},
		"first statement of a transaction is not sent after a refused begin": {
			route: "main", scripts: map[string][]script{"p": {fail(statement.Begin, verdict.NotPrimary, statement.Idle)}},
			requests: []statement.Request{control(statement.Begin), write("1")},
			want:     []outcome{{State: statement.Open}, {Receipt: "receipt of 1", State: statement.Open}},
			sent:     []string{"p: begin ", "r: begin ", "r: write 1"},
		},
		"transaction whose connection is lost before its commit is aborted": {
			route: "main", scripts: map[string][]script{"p": {succeed, succeed, cut}},
			requests: []statement.Request{control(statement.Begin), write("1"), write("2"), read("3"), control(statement.Rollback), read("4")},
			want: []outcome{
				{State: statement.Open},
				{Receipt: "receipt of 1", State: statement.Open},
				{Verdict: "not run", Reason: verdict.Aborted, State: statement.Failed},
				{Verdict: "not run", Reason: verdict.Malformed, State: statement.Failed},
				{},
				{Receipt: "receipt of 4"},
			},
			sent: []string{"p: begin ", "p: write 1", "p: write 2", "p: begin ", "p: read 4", "p: rollback "},
		},
		"commit without an answer may have run": {
			route: "main", scripts: map[string][]script{"p": {succeed, succeed, cut}},
			requests: []statement.Request{control(statement.Begin), write("1"), control(statement.Commit)},
			want:     []outcome{{State: statement.Open}, {Receipt: "receipt of 1", State: statement.Open}, {Verdict: "may have run", Reason: verdict.Broken}},
			sent:     []string{"p: begin ", "p: write 1", "p: commit q"},
		},
		"commit of a failed transaction is refused as not run": {
			route: "main", scripts: map[string][]script{"p": {succeed, succeed, fail(statement.Write, verdict.NotPrimary, statement.Failed)}},
			requests: []statement.Request{control(statement.Begin), write("1"), write("2"), control(statement.Commit)},
			want: []outcome{
				{State: statement.Open},
				{Receipt: "receipt of 1", State: statement.Open},
				{Verdict: "not run", Reason: verdict.NotPrimary, State: statement.Failed},
				{Verdict: "not run", Reason: verdict.Aborted},
			},
			sent: []string{"p: begin ", "p: write 1", "p: write 2", "p: rollback "},
		},
		"statement of an open transaction retries until a slot is free": {
			route: "main", scripts: map[string][]script{"p": {succeed, succeed, fail(statement.Read, verdict.Overload, statement.Open)}},
			requests: []statement.Request{control(statement.Begin), write("1"), read("2"), control(statement.Commit)},
			want:     []outcome{{State: statement.Open}, {Receipt: "receipt of 1", State: statement.Open}, {Receipt: "receipt of 2", State: statement.Open}, {Receipt: "receipt of q"}},
			sent:     []string{"p: begin ", "p: write 1", "p: read 2", "p: read 2", "p: commit q"},
		},
		"settings reach a connection before the statement": {
			route: "history", requests: []statement.Request{{ID: "s", Kind: statement.Set, Name: "zone", Value: "utc"}, read("1"), read("2")},
			want: []outcome{{}, {Receipt: "receipt of 1"}, {Receipt: "receipt of 2"}},
			sent: []string{"r: set ", "r: read 1", "r: read 2"},
		},
		"prepared statement is prepared once on a connection": {
			route: "history",
			requests: []statement.Request{
				{ID: "s", Kind: statement.Prepare, Name: "s1", Value: "shape"},
				{ID: "1", Kind: statement.Execute, Name: "s1", Value: "x"},
				{ID: "2", Kind: statement.Execute, Name: "s1", Value: "x"},
				{ID: "f", Kind: statement.Forget, Name: "s1"},
				{ID: "3", Kind: statement.Execute, Name: "s1", Value: "x"},
			},
			want: []outcome{{}, {Receipt: "receipt of 1"}, {Receipt: "receipt of 2"}, {}, {Verdict: "not run", Reason: verdict.Unprepared}},
			sent: []string{"r: prepare ", "r: execute 1", "r: execute 2"},
		},
		"write in a read-only transaction is refused": {
			route: "history", requests: []statement.Request{control(statement.BeginRead), write("1"), control(statement.Rollback)},
			want: []outcome{{State: statement.Open}, {Verdict: "not run", Reason: verdict.ReadOnly, State: statement.Failed}, {}},
		},
		"statements out of place are malformed": {
			route: "main", requests: []statement.Request{control(statement.Commit), control(statement.Rollback), control(statement.Begin), control(statement.Begin), control(statement.Rollback)},
			want: []outcome{
				{Verdict: "not run", Reason: verdict.Malformed},
				{Verdict: "not run", Reason: verdict.Malformed},
				{State: statement.Open},
				{Verdict: "not run", Reason: verdict.Malformed, State: statement.Open},
				{},
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := open(t, test.route, test.scripts)
				var got []outcome
				for _, r := range test.requests {
					got = append(got, outcomeOf(s.Run(context.Background(), r)))
				}
				s.dispatcher.background.Wait()
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.sent, e.sent); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

// TestDeadline checks that a write is refused as not run, with a retry time and within the route's timeout, while no
// endpoint has a free slot.
func TestDeadline(t *testing.T) {
	overloaded := make([]script, 1000)
	for i := range overloaded {
		overloaded[i] = fail(statement.Write, verdict.Overload, statement.Idle)
	}
	s, _ := open(t, "main", map[string][]script{"p": overloaded})
	started := time.Now()
	a := s.Run(context.Background(), write("1"))
	took := time.Since(started)
	if diff := cmp.Diff(outcome{Verdict: "not run", Reason: verdict.Overload}, outcomeOf(a)); diff != "" {
		t.Error(diff)
	}
	if a.Failure.RetryAfter <= 0 {
		t.Error("refused without a retry time")
	}
	if took > 300*time.Millisecond {
		t.Errorf("refused after %s, want at most 300 ms", took)
	}
}

// TestOpen checks that a name without a route is refused.
func TestOpen(t *testing.T) {
	s, _ := open(t, "main", nil)
	_, refused := s.dispatcher.Open(context.Background(), statement.StartupParameters{Database: "nobody"})
	if refused == nil || refused.Reason != verdict.Unrouted {
		t.Errorf("refused with %v, want the reason unrouted", refused)
	}
}

// TestCloseRollsBack checks that closing a session rolls back its transaction and that the connection is reused.
func TestCloseRollsBack(t *testing.T) {
	s, e := open(t, "main", nil)
	s.Run(context.Background(), control(statement.Begin))
	s.Run(context.Background(), write("1"))
	s.Close()
	s.dispatcher.background.Wait()
	s.Run(context.Background(), write("2"))
	want := []string{"p: begin ", "p: write 1", "p: rollback ", "p: write 2"}
	if diff := cmp.Diff(want, e.sent); diff != "" {
		t.Error(diff)
	}
}

// TestRollbackRefused checks that a connection whose transaction is still open after a refused rollback is not reused.
func TestRollbackRefused(t *testing.T) {
	s, e := open(t, "main", map[string][]script{"p": {succeed, succeed, fail(statement.Rollback, verdict.Overload, statement.Open)}})
	s.Run(context.Background(), control(statement.Begin))
	s.Run(context.Background(), write("1"))
	s.Close()
	s.dispatcher.background.Wait()
	s.Run(context.Background(), write("2"))
	if diff := cmp.Diff(2, e.dials); diff != "" {
		t.Errorf("number of connections: %s", diff)
	}
}

// TestToken checks that a read at a replica requires the position of the session's last write.
func TestToken(t *testing.T) {
	written := endpoint.Position{Term: 1, Offset: 7}
	answerWritten := func(steps []statement.Step) ([]statement.Answer, error) {
		out, err := succeed(steps)
		for n := range out {
			out[n].Position = written
		}
		return out, err
	}
	s, e := open(t, "history", map[string][]script{"p": {answerWritten}})
	s.Run(context.Background(), write("1"))
	s.Run(context.Background(), read("2"))
	if diff := cmp.Diff(written, e.after["2"]); diff != "" {
		t.Errorf("the read after the write required position %v: %s", e.after["2"], diff)
	}
}

// TestChangedSettings checks that a connection is reset after the rollback of a transaction inside which settings
// changed.
func TestChangedSettings(t *testing.T) {
	s, e := open(t, "main", nil)
	s.Run(context.Background(), control(statement.Begin))
	s.Run(context.Background(), write("1"))
	s.Run(context.Background(), statement.Request{ID: "s", Kind: statement.Set, Name: "zone", Value: "utc"})
	s.Run(context.Background(), write("2"))
	s.Run(context.Background(), control(statement.Rollback))
	s.dispatcher.background.Wait()
	s.Run(context.Background(), write("3"))
	want := []string{"p: begin ", "p: write 1", "p: set ", "p: write 2", "p: rollback ", "p: reset ", "p: set ", "p: write 3"}
	if diff := cmp.Diff(want, e.sent); diff != "" {
		t.Error(diff)
	}
}

// TestNoAttemptShortOfTime checks that no attempt is made when less time is left than the endpoint usually takes. With
// only one usable endpoint, a statement that gets a slot just before its deadline wastes the slot and loses its
// connection.
func TestNoAttemptShortOfTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		overloaded := make([]script, 1000)
		for i := range overloaded {
			overloaded[i] = fail(statement.Write, verdict.Overload, statement.Idle)
		}
		s, e := open(t, "main", map[string][]script{"p": overloaded})
		db, _ := s.dispatcher.options.Databases.Get("db")
		for range 100 {
			db.RecordServed("p", position, 80*time.Millisecond)
		}
		started := time.Now()
		a := s.Run(context.Background(), write("1"))
		if took := time.Since(started); took > 300*time.Millisecond-answerMargin-80*time.Millisecond {
			t.Errorf("tried for %s at an endpoint that takes 80 ms, with a timeout of 300 ms", took)
		}
		if a.Failure == nil || a.Failure.Verdict != verdict.NotRun || len(e.sent) < 5 {
			t.Errorf("got %+v after %d attempts", a.Failure, len(e.sent))
		}
	})
}

// slowDialer calls whileDialing when it connects to p.
type slowDialer struct {
	*endpoints
	whileDialing func()
}

func (d slowDialer) Dial(ctx context.Context, e connection.Target, timeout time.Duration) (connection.Conn, error) {
	if e.Endpoint.Name == "p" {
		d.whileDialing()
	}
	return d.endpoints.Dial(ctx, e, timeout)
}

// TestLeavingWhileWaiting checks that nothing is sent to a leaving endpoint whose time for new work ended during the
// wait for a connection.
func TestLeavingWhileWaiting(t *testing.T) {
	var drain atomic.Int64
	drain.Store(int64(time.Minute))
	e := &endpoints{}
	ctx, cancel := context.WithCancel(context.Background())
	registry := database.NewRegistry(database.Options{
		Dialer: slowDialer{endpoints: e, whileDialing: func() { drain.Store(0) }}, Clock: clock.System{}, Logger: event.Discard(),
		DrainTime: func() time.Duration { return time.Duration(drain.Load()) },
	})
	set := catalog().Set
	set.Endpoints = slices.Clone(set.Endpoints)
	set.Endpoints[0].Leaving = true
	c := config.NewCatalog(set)
	registry.Configure(c, map[string]string{"db": "p"}, 1)
	d := New(ctx, Options{Domain: "north/a", Catalogs: catalogs{c}, Databases: registry, Clock: clock.System{}, Logger: event.Discard()})
	defer func() {
		cancel()
		<-d.Done()
	}()
	s, refused := d.Open(ctx, statement.StartupParameters{Database: "main"})
	if refused != nil {
		t.Fatal(refused)
	}
	if got := s.Run(ctx, write("1")); got.Failure == nil || got.Failure.Verdict != verdict.NotRun {
		t.Errorf("failure %v", got.Failure)
	}
	for _, step := range e.sent {
		if strings.HasPrefix(step, "p:") {
			t.Errorf("sent %q", step)
		}
	}
	if drain.Load() != 0 {
		t.Error("the leaving endpoint was not chosen")
	}
}

// TestLenderFails guards against a failed lending instance that counts as a failure of the endpoint: all statements of the
// instance avoided the endpoint for a while, and those that only the primary may serve waited.
func TestLenderFails(t *testing.T) {
	lenderFails := func([]statement.Step) ([]statement.Answer, error) {
		return nil, errors.Mark(errCut, connection.ErrLender)
	}
	tests := map[string]struct {
		route   string
		request statement.Request
		scripts map[string][]script
		want    outcome
		sent    []string
	}{
		"read that only the primary may serve": {
			route: "main", request: read("1"), scripts: map[string][]script{"p": {lenderFails}},
			want: outcome{Receipt: "receipt of 1"}, sent: []string{"p: begin ", "p: begin ", "p: read 1", "p: rollback "},
		},
		"read at a replica": {
			route: "history", request: read("1"), scripts: map[string][]script{"r": {lenderFails}},
			want: outcome{Receipt: "receipt of 1"}, sent: []string{"r: read 1", "p: begin ", "p: read 1", "p: rollback "},
		},
		"write is not repeated": {
			route: "main", request: write("1"), scripts: map[string][]script{"p": {lenderFails}},
			want: outcome{Verdict: "may have run", Reason: verdict.Broken}, sent: []string{"p: write 1"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, e := open(t, test.route, test.scripts)
			got := s.Run(context.Background(), test.request)
			if diff := cmp.Diff(test.want, outcomeOf(got)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.sent, e.sent); diff != "" {
				t.Error(diff)
			}
			db, _ := s.dispatcher.options.Databases.Get("db")
			if choices := db.Choose(group.Query{PrimaryOnly: true}); len(choices) == 0 {
				t.Error("the primary is avoided")
			}
		})
	}
}
