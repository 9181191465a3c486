package dispatch

import (
	"context"
	"net"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/event"
	"siskincove/session"
	"siskincove/statement"
	"siskincove/verdict"
)

// currentCatalog is a configuration that tests replace while sessions are open.
type currentCatalog struct{ atomic.Pointer[config.Catalog] }

func (c *currentCatalog) Catalog() *config.Catalog { return c.Load() }

// withKeys returns the catalog of the tests with workspaces that hold the given keys, and with an anonymous route.
func withKeys(keys map[string][]string) *config.Catalog {
	set := catalog().Set
	set.Routes = append(set.Routes, config.Route{Name: "open", Database: "db", Reads: config.ReadsReplica, Limit: "l", Anonymous: true})
	for name, held := range keys {
		w := config.Workspace{Name: name, Rate: 10, Burst: 10}
		for _, key := range held {
			w.Keys = append(w.Keys, config.HashKey(key))
		}
		set.Workspaces = append(set.Workspaces, w)
	}
	return config.NewCatalog(set).WithKeysRequired(true)
}

// workspaceDialer records the workspaces on whose behalf connections are opened.
type workspaceDialer struct {
	endpoints
	mu      sync.Mutex
	dialled []string
}

// Dial records the workspace and returns a connection to a scripted endpoint.
func (w *workspaceDialer) Dial(ctx context.Context, target connection.Target, limit time.Duration) (connection.Conn, error) {
	w.mu.Lock()
	w.dialled = append(w.dialled, target.Workspace)
	w.mu.Unlock()
	return w.endpoints.Dial(ctx, target, limit)
}

// DialOver is not used by these tests.
func (w *workspaceDialer) DialOver(context.Context, connection.Target, net.Conn) (connection.Conn, error) {
	return nil, errCut
}

// keyed is a dispatcher with workspaces over scripted endpoints.
type keyed struct {
	catalog    currentCatalog
	dialer     workspaceDialer
	dispatcher *Dispatcher
	cancel     context.CancelFunc
}

func newKeyed(t *testing.T, c *config.Catalog, freshness Freshness) *keyed {
	t.Helper()
	k := &keyed{}
	ctx, cancel := context.WithCancel(context.Background())
	k.cancel = cancel
	registry := database.NewRegistry(database.Options{Dialer: &k.dialer, Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return time.Minute }})
	if c != nil {
		k.catalog.Store(c)
		registry.Configure(c, map[string]string{"db": "p"}, 1)
	}
	k.dispatcher = New(ctx, Options{Domain: "north/a", Catalogs: &k.catalog, Databases: registry, Clock: clock.System{}, Logger: event.Discard(), Freshness: freshness})
	t.Cleanup(k.end)
	return k
}

// end waits for all work in the background.
func (k *keyed) end() {
	k.cancel()
	<-k.dispatcher.Done()
}

func (k *keyed) open(route, key string) (*Session, *verdict.Error) {
	return k.dispatcher.Open(context.Background(), statement.StartupParameters{Database: route, User: key})
}

// notFresh is a Freshness without a proof.
type notFresh struct{ checks atomic.Int32 }

func (f *notFresh) Check() *verdict.Error {
	f.checks.Add(1)
	return verdict.New(verdict.NotRun, verdict.Unproven, "no proof")
}

// TestOpenWithKey checks who may open a session. An unknown key must be refused at once, also while known keys wait for a
// proof that they are still valid: a flood of unknown keys would otherwise hold sessions for proofTimeout each.
func TestOpenWithKey(t *testing.T) {
	workspaces := map[string][]string{"blue": {"b1", "b2"}, "red": {"r1"}, "both1": {"shared"}, "both2": {"shared"}, "empty": {""}}
	tests := map[string]struct {
		route, key string
		keys       map[string][]string
		unproven   bool
		want       verdict.Reason
		workspace  string
		waits      bool
	}{
		"first key":                      {route: "main", key: "b1", keys: workspaces, workspace: "blue"},
		"second key":                     {route: "main", key: "b2", keys: workspaces, workspace: "blue"},
		"key with any bytes":             {route: "main", key: "\x00\xff 'x", keys: map[string][]string{"odd": {"\x00\xff 'x"}}, workspace: "odd"},
		"unknown key":                    {route: "main", key: "x", keys: workspaces, want: verdict.Unauthorized},
		"very long unknown key":          {route: "main", key: string(make([]byte, 1<<20)), keys: workspaces, want: verdict.Unauthorized},
		"no key":                         {route: "main", keys: workspaces, want: verdict.Unauthorized},
		"key of two workspaces":          {route: "main", key: "shared", keys: workspaces, want: verdict.Unauthorized},
		"name of a workspace":            {route: "main", key: "blue", keys: workspaces, want: verdict.Unauthorized},
		"unknown key, anonymous route":   {route: "open", key: "x", keys: workspaces},
		"no key, anonymous route":        {route: "open", keys: workspaces},
		"known key, anonymous route":     {route: "open", key: "r1", keys: workspaces, workspace: "red"},
		"unknown route":                  {route: "none", key: "b1", keys: workspaces, want: verdict.Unrouted},
		"last workspace removed":         {route: "main", key: "b1", want: verdict.Unauthorized},
		"unknown key without a proof":    {route: "main", key: "x", keys: workspaces, unproven: true, want: verdict.Unproven},
		"known key without a proof":      {route: "main", key: "b1", keys: workspaces, unproven: true, want: verdict.Unproven, waits: true},
		"anonymous caller without proof": {route: "open", key: "x", keys: workspaces, unproven: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var freshness Freshness
			if test.unproven {
				freshness = &notFresh{}
			}
			k := newKeyed(t, withKeys(test.keys), freshness)
			started := time.Now()
			s, refused := k.open(test.route, test.key)
			if waited := time.Since(started) > proofTimeout/2; waited != test.waits {
				t.Errorf("took %s", time.Since(started))
			}
			var got verdict.Reason
			workspace := ""
			if refused != nil {
				got = refused.Reason
			} else {
				workspace = s.workspace.Name
			}
			if diff := cmp.Diff([]string{string(test.want), test.workspace}, []string{string(got), workspace}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// step is a request, or a change of the configuration before the next one.
type step struct {
	change  *config.Catalog
	request statement.Request
}

func ask(r statement.Request) step { return step{request: r} }

// TestKeyChanges guards against statements that run under a key withdrawn or moved while the session is open, and against
// effects of its open transaction.
func TestKeyChanges(t *testing.T) {
	before := withKeys(map[string][]string{"blue": {"k", "k2"}, "red": {"r"}})
	withdrawn := step{change: withKeys(map[string][]string{"blue": {"k2"}, "red": {"r"}})}
	moved := step{change: withKeys(map[string][]string{"blue": {"k2"}, "red": {"r", "k"}})}
	unrouted := before.Set
	unrouted.Routes = []config.Route{}
	routeRemoved := step{change: config.NewCatalog(unrouted)}
	set := statement.Request{ID: "s", Kind: statement.Set, Name: "zone", Value: "utc"}
	begin, commit, rollback := ask(control(statement.Begin)), ask(control(statement.Commit)), ask(control(statement.Rollback))
	unauthorized := outcome{Verdict: "not run", Reason: verdict.Unauthorized}
	unauthorizedInTx := outcome{Verdict: "not run", Reason: verdict.Unauthorized, State: statement.Failed}
	abortedInTx := outcome{Verdict: "not run", Reason: verdict.Aborted, State: statement.Failed}
	aborted := outcome{Verdict: "not run", Reason: verdict.Aborted}
	ok := func(id string, state statement.State) outcome {
		return outcome{Receipt: "receipt of " + id, State: state}
	}
	opened := outcome{State: statement.Open}
	tests := map[string]struct {
		route string
		steps []step
		want  []outcome
		sent  []string
		ended bool
	}{
		"withdrawn before a single statement": {
			steps: []step{ask(write("1")), withdrawn, ask(write("2"))},
			want:  []outcome{ok("1", 0), unauthorized}, sent: []string{"p: write 1"}, ended: true,
		},
		"withdrawn, and the caller goes on": {
			steps: []step{withdrawn, ask(write("1")), ask(set), begin, ask(read("2"))},
			want:  []outcome{unauthorized, unauthorized, unauthorized, unauthorized}, ended: true,
		},
		"withdrawn and given back": {
			steps: []step{ask(set), withdrawn, ask(write("1")), {change: before}, ask(write("2"))},
			want:  []outcome{{}, unauthorized, unauthorized}, ended: true,
		},
		"withdrawn and given back between two requests": {
			steps: []step{ask(write("1")), withdrawn, {change: before}, ask(write("2"))},
			want:  []outcome{ok("1", 0), ok("2", 0)}, sent: []string{"p: write 1", "p: write 2"},
		},
		"withdrawn inside a transaction": {
			steps: []step{begin, ask(write("1")), withdrawn, ask(write("2")), commit},
			want:  []outcome{opened, ok("1", statement.Open), unauthorizedInTx, aborted},
			sent:  []string{"p: begin ", "p: write 1", "p: rollback "}, ended: true,
		},
		"withdrawn inside a transaction that the caller rolls back": {
			steps: []step{begin, ask(write("1")), withdrawn, ask(write("2")), rollback, ask(read("3"))},
			want:  []outcome{opened, ok("1", statement.Open), unauthorizedInTx, {}, unauthorized},
			sent:  []string{"p: begin ", "p: write 1", "p: rollback "}, ended: true,
		},
		"withdrawn before the commit": {
			steps: []step{begin, ask(write("1")), withdrawn, commit},
			want:  []outcome{opened, ok("1", statement.Open), unauthorized},
			sent:  []string{"p: begin ", "p: write 1", "p: rollback "}, ended: true,
		},
		"withdrawn before the rollback": {
			steps: []step{begin, ask(write("1")), withdrawn, rollback},
			want:  []outcome{opened, ok("1", statement.Open), {}},
			sent:  []string{"p: begin ", "p: write 1", "p: rollback "},
		},
		"withdrawn before the first statement of a transaction": {
			steps: []step{begin, withdrawn, ask(write("1")), commit},
			want:  []outcome{opened, unauthorizedInTx, aborted}, ended: true,
		},
		"moved between single statements": {
			steps: []step{ask(set), ask(write("1")), moved, ask(write("2"))},
			want:  []outcome{{}, ok("1", 0), ok("2", 0)},
		},
		"moved inside a transaction": {
			steps: []step{begin, ask(write("1")), moved, ask(write("2")), rollback, ask(write("3"))},
			want:  []outcome{opened, ok("1", statement.Open), abortedInTx, {}, ok("3", 0)},
		},
		"moved before the commit": {
			steps: []step{begin, ask(write("1")), moved, commit, ask(write("2"))},
			want:  []outcome{opened, ok("1", statement.Open), aborted, ok("2", 0)},
		},
		"moved before the first statement of a transaction": {
			steps: []step{begin, moved, ask(write("1")), commit},
			want:  []outcome{opened, ok("1", statement.Open), ok("q", 0)},
			sent:  []string{"p: begin ", "p: write 1", "p: commit q"},
		},
		"withdrawn on an anonymous route": {
			route: "open", steps: []step{ask(read("1")), withdrawn, ask(read("2"))},
			want: []outcome{ok("1", 0), ok("2", 0)},
		},
		"route removed inside a transaction": {
			steps: []step{begin, ask(write("1")), routeRemoved, ask(write("2")), commit, ask(write("3"))},
			want:  []outcome{opened, ok("1", statement.Open), ok("2", statement.Open), ok("q", 0), {Verdict: "not run", Reason: verdict.Unrouted}},
			sent:  []string{"p: begin ", "p: write 1", "p: write 2", "p: commit q"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, before, nil)
			route := test.route
			if route == "" {
				route = "main"
			}
			s, refused := k.open(route, "k")
			if refused != nil {
				t.Fatal(refused)
			}
			var got []outcome
			for _, next := range test.steps {
				if next.change != nil {
					k.catalog.Store(next.change)
					continue
				}
				got = append(got, outcomeOf(s.Run(context.Background(), next.request)))
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			kept := len(s.settings) > 0 || len(s.prepared) > 0
			if diff := cmp.Diff([]bool{test.ended, false}, []bool{s.Withdrawn(), test.ended && kept}); diff != "" {
				t.Error(diff)
			}
			k.end()
			if diff := cmp.Diff(test.sent, k.dialer.sent); test.sent != nil && diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestWithdrawnSessionKeepsNothing checks that a session drops its state with its key, since later statements would run under
// other settings than were acknowledged.
func TestWithdrawnSessionKeepsNothing(t *testing.T) {
	k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), nil)
	s, refused := k.open("main", "k")
	if refused != nil {
		t.Fatal(refused)
	}
	for _, r := range []statement.Request{
		{ID: "1", Kind: statement.Set, Name: "zone", Value: "utc"}, {ID: "2", Kind: statement.Prepare, Name: "s", Value: "shape"}, write("3"),
	} {
		if a := s.Run(context.Background(), r); a.Failure != nil {
			t.Fatal(a.Failure)
		}
	}
	if diff := cmp.Diff([]string{"blue"}, k.dialer.dialled); diff != "" {
		t.Error(diff)
	}
	k.catalog.Store(withKeys(nil))
	s.Run(context.Background(), write("4"))
	_, hasToken := s.token.Position("db")
	if diff := cmp.Diff([]any{0, 0, false}, []any{len(s.settings), len(s.prepared), hasToken}); diff != "" {
		t.Error(diff)
	}
	if s.token.Encode("c", []byte("k")) != (session.Token{}).Encode("c", []byte("k")) {
		t.Error("token was kept")
	}
}

// TestKeyWithdrawnWhileWaiting guards against a statement that is sent after its key was withdrawn, because it had waited for
// an endpoint in the meantime.
func TestKeyWithdrawnWhileWaiting(t *testing.T) {
	tests := map[string]struct {
		after *config.Catalog
		want  outcome
		sent  []string
	}{
		"withdrawn": {after: withKeys(nil), want: outcome{Verdict: "not run", Reason: verdict.Unauthorized}, sent: []string{"p: write 1"}},
		"moved":     {after: withKeys(map[string][]string{"red": {"k"}}), want: outcome{Receipt: "receipt of 1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), nil)
			s, refused := k.open("main", "k")
			if refused != nil {
				t.Fatal(refused)
			}
			k.dialer.scripts = map[string][]script{"p": {func(steps []statement.Step) ([]statement.Answer, error) {
				k.catalog.Store(test.after)
				return fail(statement.Write, verdict.Overload, statement.Idle)(steps)
			}}}
			if diff := cmp.Diff(test.want, outcomeOf(s.Run(context.Background(), write("1")))); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.sent, k.dialer.sent); test.sent != nil && diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestKeyWithdrawnInRetry guards against a statement of an open transaction that is sent again after its key was withdrawn or
// moved, because it had waited for a slot in the meantime.
func TestKeyWithdrawnInRetry(t *testing.T) {
	tests := map[string]struct {
		after *config.Catalog
		kind  statement.Kind
		want  outcome
	}{
		"withdrawn, statement": {after: withKeys(nil), kind: statement.Write, want: outcome{Verdict: "not run", Reason: verdict.Unauthorized, State: statement.Failed}},
		"withdrawn, commit":    {after: withKeys(nil), kind: statement.Commit, want: outcome{Verdict: "not run", Reason: verdict.Unauthorized}},
		"moved, statement":     {after: withKeys(map[string][]string{"red": {"k"}}), kind: statement.Write, want: outcome{Verdict: "not run", Reason: verdict.Aborted, State: statement.Failed}},
		"moved, commit":        {after: withKeys(map[string][]string{"red": {"k"}}), kind: statement.Commit, want: outcome{Verdict: "not run", Reason: verdict.Aborted}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), nil)
			s, refused := k.open("main", "k")
			if refused != nil {
				t.Fatal(refused)
			}
			busy := func(steps []statement.Step) ([]statement.Answer, error) {
				k.catalog.Store(test.after)
				return fail(test.kind, verdict.Overload, statement.Open)(steps)
			}
			k.dialer.scripts = map[string][]script{"p": {succeed, succeed, busy}}
			s.Run(context.Background(), control(statement.Begin))
			s.Run(context.Background(), write("1"))
			r := write("2")
			if test.kind == statement.Commit {
				r = control(statement.Commit)
				r.ID = "2"
			}
			if diff := cmp.Diff(test.want, outcomeOf(s.Run(context.Background(), r))); diff != "" {
				t.Error(diff)
			}
			k.end()
			want := []string{"p: begin ", "p: write 1", "p: " + test.kind.String() + " 2", "p: rollback "}
			if diff := cmp.Diff(want, k.dialer.sent); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUnprovenStatement checks that a statement is refused without effect while it is not proved that its key is still valid,
// and that the session goes on.
func TestUnprovenStatement(t *testing.T) {
	f := &switchedFreshness{}
	k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), f)
	s, refused := k.open("main", "k")
	if refused != nil {
		t.Fatal(refused)
	}
	var got []outcome
	run := func(r statement.Request) { got = append(got, outcomeOf(s.Run(context.Background(), r))) }
	run(control(statement.Begin))
	run(write("1"))
	f.stale.Store(true)
	run(control(statement.Commit))
	run(write("2"))
	f.stale.Store(false)
	run(write("3"))
	want := []outcome{
		{State: statement.Open},
		{Receipt: "receipt of 1", State: statement.Open},
		{Verdict: "not run", Reason: verdict.Unproven},
		{Verdict: "not run", Reason: verdict.Unproven},
		{Receipt: "receipt of 3"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	k.end()
	sent := slices.Sorted(slices.Values(k.dialer.sent))
	if diff := cmp.Diff([]string{"p: begin ", "p: rollback ", "p: write 1", "p: write 3"}, sent); diff != "" {
		t.Error(diff)
	}
}

type switchedFreshness struct{ stale atomic.Bool }

func (f *switchedFreshness) Check() *verdict.Error {
	if f.stale.Load() {
		return verdict.New(verdict.NotRun, verdict.Unproven, "no proof")
	}
	return nil
}

// TestAuthorizeAllocatesNothing checks that the check before each statement allocates nothing.
func TestAuthorizeAllocatesNothing(t *testing.T) {
	k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), &switchedFreshness{})
	s, refused := k.open("main", "k")
	if refused != nil {
		t.Fatal(refused)
	}
	if n := testing.AllocsPerRun(100, func() { _ = s.authorize() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// BenchmarkAuthorize measures the check before each statement.
func BenchmarkAuthorize(b *testing.B) {
	keys := make(map[string][]string)
	for i := range 10000 {
		name := strconv.Itoa(i)
		keys[name] = []string{"a" + name, "b" + name}
	}
	d := &Dispatcher{options: Options{Catalogs: catalogs{withKeys(keys)}}}
	s := &Session{dispatcher: d, routeName: "main", key: config.HashKey("a4711")}
	b.ReportAllocs()
	for b.Loop() {
		if refused := s.authorize(); refused != nil {
			b.Fatal(refused)
		}
	}
}

// TestUnknownKeysKeepNothing guards against memory that grows with the number of unknown keys that callers present.
func TestUnknownKeysKeepNothing(t *testing.T) {
	const flood, allowed = 20000, 1 << 20
	k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), nil)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before := heap()
	for i := range flood {
		if _, refused := k.open("main", "unknown"+strconv.Itoa(i)); refused == nil || refused.Reason != verdict.Unauthorized {
			t.Fatal(refused)
		}
	}
	if grown := heap() - before; grown > allowed {
		t.Errorf("%d bytes for %d unknown keys", grown, flood)
	}
	runtime.KeepAlive(k)
}

// BenchmarkRefuseUnknownKey measures a refused session, without its connection.
func BenchmarkRefuseUnknownKey(b *testing.B) {
	d := &Dispatcher{options: Options{Catalogs: catalogs{withKeys(map[string][]string{"blue": {"k"}})}, Clock: clock.System{}}}
	b.ReportAllocs()
	for b.Loop() {
		if _, refused := d.Open(context.Background(), statement.StartupParameters{Database: "main", User: "6aw63is47qdqiqrh4jcd"}); refused == nil {
			b.Fatal("not refused")
		}
	}
}

// countedAllotments grants each operation and counts those given back. After a grant it replaces the configuration.
type countedAllotments struct {
	taken, returned int
	granted         func()
}

func (c *countedAllotments) Take(context.Context, config.Workspace, time.Time) (func(), *verdict.Error) {
	c.taken++
	c.granted()
	return func() { c.returned++ }, nil
}

// lapsingFreshness has a proof until it has lapsed.
type lapsingFreshness struct{ lapsed bool }

func (f *lapsingFreshness) Check() *verdict.Error {
	if f.lapsed {
		return verdict.New(verdict.NotRun, verdict.Unproven, "no proof")
	}
	return nil
}

// TestRefusedOperationIsReturned guards against operations that are lost because a statement was refused before it was sent.
func TestRefusedOperationIsReturned(t *testing.T) {
	for name, begin := range map[string]bool{"single": false, "transaction": true} {
		t.Run(name, func(t *testing.T) {
			f := &lapsingFreshness{}
			k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), f)
			counted := &countedAllotments{granted: func() { f.lapsed = true }}
			k.dispatcher.options.Allotments = counted
			s, refused := k.open("main", "k")
			if refused != nil {
				t.Fatal(refused)
			}
			if begin {
				s.Run(context.Background(), control(statement.Begin))
			}
			if a := s.Run(context.Background(), write("1")); a.Failure == nil || a.Failure.Reason != verdict.Unproven {
				t.Errorf("got %v", a.Failure)
			}
			if counted.taken != 1 || counted.returned != 1 {
				t.Errorf("%d operations taken, %d returned", counted.taken, counted.returned)
			}
		})
	}
}

// TestKeyMovesAfterOperationIsTaken guards against an operation that is counted for one workspace and runs under another.
func TestKeyMovesAfterOperationIsTaken(t *testing.T) {
	for name, begin := range map[string]bool{"single": false, "transaction": true} {
		t.Run(name, func(t *testing.T) {
			k := newKeyed(t, withKeys(map[string][]string{"blue": {"k"}}), nil)
			counted := &countedAllotments{granted: func() { k.catalog.Store(withKeys(map[string][]string{"red": {"k"}})) }}
			k.dispatcher.options.Allotments = counted
			s, refused := k.open("main", "k")
			if refused != nil {
				t.Fatal(refused)
			}
			if begin {
				s.Run(context.Background(), control(statement.Begin))
			}
			if a := s.Run(context.Background(), write("1")); a.Failure == nil || a.Failure.Reason != verdict.Aborted || a.Failure.Verdict != verdict.NotRun {
				t.Errorf("got %v", a.Failure)
			}
			if counted.taken != 1 || counted.returned != 1 || len(k.dialer.sent) != 0 {
				t.Errorf("%d operations taken, %d returned, sent %v", counted.taken, counted.returned, k.dialer.sent)
			}
		})
	}
}
