package succession

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
	"siskincove/statement"
)

// leadingEndpoint answers every step as a primary of a term and records the steps.
type leadingEndpoint struct {
	mu    sync.Mutex
	term  endpoint.FencedTerm
	kinds []statement.Kind
}

func (l *leadingEndpoint) Dial(context.Context, connection.Target, time.Duration) (connection.Conn, error) {
	return &leadingConn{endpoint: l, broken: make(chan struct{})}, nil
}

func (l *leadingEndpoint) DialOver(ctx context.Context, e connection.Target, _ net.Conn) (connection.Conn, error) {
	return l.Dial(ctx, e, 0)
}

func (l *leadingEndpoint) demoted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.kinds {
		if k == statement.Demote {
			return true
		}
	}
	return false
}

type leadingConn struct {
	endpoint *leadingEndpoint
	broken   chan struct{}
}

func (c *leadingConn) RoundTrip() time.Duration { return 0 }

func (c *leadingConn) Broken() <-chan struct{} { return c.broken }

func (c *leadingConn) Close() {}

func (c *leadingConn) Exchange(_ context.Context, _ time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	var out []statement.Answer
	for _, s := range steps {
		c.endpoint.kinds = append(c.endpoint.kinds, s.Kind)
		out = append(out, statement.Answer{Status: &endpoint.PlatformStatus{Role: endpoint.Primary, Term: c.endpoint.term}})
	}
	return out, nil
}

func newGuardedDatabase(t *testing.T) (*database.Database, []config.Endpoint) {
	t.Helper()
	members := []config.Endpoint{{Name: "p", Database: "db", Address: "127.0.0.1:1"}, {Name: "a", Database: "db", Address: "127.0.0.1:2"}, {Name: "b", Database: "db", Address: "127.0.0.1:3"}}
	r := database.NewRegistry(database.Options{Clock: clock.System{}, Logger: event.Discard(), DrainTime: func() time.Duration { return time.Minute }})
	r.Configure(config.NewCatalog(config.Set{Databases: []config.Database{{Name: "db", SyncReplicas: 1}}, Endpoints: members}), nil, 1)
	db, ok := r.Get("db")
	if !ok {
		t.Fatal("no database")
	}
	return db, members
}

// TestAssistUnknownPrimary guards against the loss of acknowledged commits: no primary was known when a promotion was requested, the
// former primary returns and a read proves that it leads; the promotion is outstanding all the same.
func TestAssistUnknownPrimary(t *testing.T) {
	const oldTerm = 3
	db, members := newGuardedDatabase(t)
	remote := &leadingEndpoint{term: oldTerm}
	ctx, cancel := context.WithCancel(context.Background())
	o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: remote}
	c := &Coordinator{options: o, name: "db", prober: newProber(ctx, remote, o.Clock)}
	defer c.prober.close()
	defer cancel()
	now := time.Now()
	db.RecordPromotion(group.Promotion{Fence: 5, Term: planTerm, Newest: oldTerm, Target: "b", At: now})
	db.RecordLead("p", position(9), now.Add(time.Millisecond))
	status := endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm, Log: position(9)}
	c.assist(ctx, db, members, []ProbeResult{{Endpoint: "p", Answered: true, Status: &status, Connection: 1}}, now)
	if !db.IsBeingReplaced("p") {
		t.Error("the promotion counts as ended, though only the former primary leads, under the term known at the request")
	}
	if !remote.demoted() {
		t.Error("the former primary was not demoted")
	}
}

// TestAssistRenamedPrimary guards against the loss of acknowledged commits (review case 6): the former primary returns under another name
// and a read proves that it leads; that is not the end of the promotion which replaces it.
func TestAssistRenamedPrimary(t *testing.T) {
	const oldTerm = 3
	tests := map[string]struct {
		term    endpoint.FencedTerm
		log     endpoint.Position
		outlast bool
	}{
		"the old term":                  {term: oldTerm, log: endpoint.Position{Term: oldTerm, Offset: 9}, outlast: true},
		"a newer term":                  {term: oldTerm + 1, log: endpoint.Position{Term: oldTerm + 1, Offset: 9}},
		"a newer term, nothing written": {term: oldTerm + 1, log: endpoint.Position{Term: oldTerm, Offset: 9}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			db, members := newGuardedDatabase(t)
			remote := &leadingEndpoint{term: test.term}
			ctx, cancel := context.WithCancel(context.Background())
			o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: remote}
			c := &Coordinator{options: o, name: "db", prober: newProber(ctx, remote, o.Clock)}
			defer c.prober.close()
			defer cancel()
			now := time.Now()
			db.RecordPromotion(group.Promotion{Fence: 5, Term: planTerm, Newest: oldTerm, Replaced: "gone", Target: "b", At: now})
			db.RecordLead("p", test.log, now.Add(time.Millisecond))
			status := endpoint.PlatformStatus{Role: endpoint.Primary, Term: test.term, Log: test.log}
			c.assist(ctx, db, members, []ProbeResult{{Endpoint: "p", Answered: true, Status: &status, Connection: 1}}, now)
			if db.IsBeingReplaced("p") != test.outlast || remote.demoted() != test.outlast {
				t.Errorf("promotion outstanding: %t, demoted: %t; want %t", db.IsBeingReplaced("p"), remote.demoted(), test.outlast)
			}
		})
	}
}

// TestWatchAfterInvalidation guards against the demotion of a healthy primary: another coordinator has invalidated the promotion and has
// told so, and the watches of the coordinator that requested it reach the primary only then.
func TestWatchAfterInvalidation(t *testing.T) {
	const oldTerm = 3
	db, members := newGuardedDatabase(t)
	remote := &leadingEndpoint{term: oldTerm}
	ctx, cancel := context.WithCancel(context.Background())
	o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: remote}
	c := &Coordinator{options: o, name: "db", prober: newProber(ctx, remote, o.Clock)}
	defer c.prober.close()
	defer cancel()
	plan := newPlan()
	plan.Floor.Term = oldTerm
	r := &runner{coordinator: c, database: db, members: members, plan: plan, succession: Succession{plan: plan, phase: Stopped, target: "b", unknown: true}}
	db.RecordPromotion(r.promotion("b"))
	db.RecordPromotion(group.Promotion{Fence: plan.Fence + 1, Target: "p", Ended: true, Settled: true, At: time.Now()})
	r.startWatches(ctx)
	time.Sleep(200 * time.Millisecond)
	c.watches.end()
	if remote.demoted() {
		t.Error("a primary that no promotion replaces any more was demoted")
	}
}

// TestStopsWithRequestInFlight guards against a promotion that counts as ended, and whose holds are released, while its request is
// under way: the platform may carry it out seconds later.
func TestStopsWithRequestInFlight(t *testing.T) {
	requested := []Event{heldReply("a", 5, planTerm), heldReply("b", 9, planTerm), confirmReply("a", 5), confirmReply("b", 9)}
	repeated := append(append([]Event(nil), requested...), PromotionResult{Outcome: Retryable}, confirmReply("a", 5), confirmReply("b", 9))
	tests := map[string]struct {
		events []Event
		last   Event
	}{
		"another succession holds the target": {events: requested, last: heldReply("b", 9, planTerm+1)},
		"no time is left":                     {events: repeated, last: Timeout{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New(newPlan())
			for _, e := range test.events {
				s, _ = s.Handle(e)
			}
			if s.Phase() != Promoting {
				t.Fatalf("phase is %v", s.Phase())
			}
			s, actions := s.Handle(test.last)
			if !s.guards() {
				t.Error("the promotion counts as ended")
			}
			for _, a := range actions {
				if a.Command == Resume {
					t.Errorf("hold of %s is released", a.Endpoint)
				}
			}
		})
	}
}

// TestAssistAfterLostDemote guards against the loss of acknowledged commits: no primary was known at the request, and the first DEMOTE of the
// former primary got no answer; the round goes on to record its lead, as Coordinator.assess does, and must not take that for the end.
func TestAssistAfterLostDemote(t *testing.T) {
	const oldTerm = 3
	db, members := newGuardedDatabase(t)
	remote := &leadingEndpoint{term: oldTerm}
	ctx, cancel := context.WithCancel(context.Background())
	o := Options{Clock: clock.System{}, Logger: event.Discard(), Dialer: remote, Databases: nil}
	c := &Coordinator{options: o, name: "db", prober: newProber(ctx, remote, o.Clock)}
	defer c.prober.close()
	defer cancel()
	db.RecordPromotion(group.Promotion{Fence: 5, Term: planTerm, Newest: oldTerm, Target: "b", At: time.Now()})
	status := endpoint.PlatformStatus{Role: endpoint.Primary, Term: oldTerm, Log: position(9)}
	for range 2 {
		probedAt := time.Now()
		c.assist(ctx, db, members, []ProbeResult{{Endpoint: "p", Answered: true, Status: &status, Connection: 1}}, probedAt)
		db.RecordLead("p", status.Log, probedAt)
		time.Sleep(time.Millisecond)
	}
	if !db.IsBeingReplaced("p") {
		t.Error("the promotion counts as ended though the former primary was not demoted")
	}
}
