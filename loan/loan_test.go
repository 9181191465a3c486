package loan

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
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

// fakeEndpoint records the steps of its connections and the highest number of open connections.
type fakeEndpoint struct {
	mu     sync.Mutex
	open   int
	peak   int
	dialed int
	steps  []string
	// ran holds the texts of the prepared statements that were executed.
	ran []string
	// silent leaves exchanges unanswered until their deadline.
	silent bool
	// refuses is the kind of the steps that are refused, and breaks of those that end the connection; 0 for none.
	refuses, breaks statement.Kind
}

func (f *fakeEndpoint) Dial(context.Context, connection.Target, time.Duration) (connection.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialed++
	f.open++
	f.peak = max(f.peak, f.open)
	return &fakeConn{endpoint: f, number: f.dialed, prepared: make(map[string]string), broken: make(chan struct{})}, nil
}

// fail sets the kinds of the steps that are refused and that end the connection.
func (f *fakeEndpoint) fail(refuses, breaks statement.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuses, f.breaks = refuses, breaks
}

func (f *fakeEndpoint) DialOver(ctx context.Context, e connection.Target, _ net.Conn) (connection.Conn, error) {
	return f.Dial(ctx, e, 0)
}

// fakeConn is a connection to a fakeEndpoint.
type fakeConn struct {
	endpoint *fakeEndpoint
	number   int
	state    statement.State
	prepared map[string]string
	broken   chan struct{}
	once     sync.Once
}

func (c *fakeConn) RoundTrip() time.Duration { return 0 }

func (c *fakeConn) Broken() <-chan struct{} { return c.broken }

func (c *fakeConn) Close() {
	c.once.Do(func() {
		close(c.broken)
		c.endpoint.mu.Lock()
		defer c.endpoint.mu.Unlock()
		c.endpoint.open--
	})
}

func (c *fakeConn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	c.endpoint.mu.Lock()
	silent := c.endpoint.silent
	c.endpoint.mu.Unlock()
	if silent {
		_ = clock.Wait(ctx, clock.System{}, time.Until(deadline))
		c.Close()
		return nil, context.DeadlineExceeded
	}
	time.Sleep(2 * time.Millisecond)
	c.endpoint.mu.Lock()
	defer c.endpoint.mu.Unlock()
	answers := make([]statement.Answer, 0, len(steps))
	for _, s := range steps {
		c.endpoint.steps = append(c.endpoint.steps, fmt.Sprintf("%d %s %s", c.number, s.Kind, s.Name))
		if s.Kind == c.endpoint.breaks {
			c.endpoint.breaks = 0
			return answers, io.ErrUnexpectedEOF
		}
		if s.Kind == c.endpoint.refuses {
			answers = append(answers, statement.Refusal(verdict.New(verdict.NotRun, verdict.NotPrimary, "refused"), c.state))
			continue
		}
		switch s.Kind {
		case statement.Begin:
			c.state = statement.Open
		case statement.Commit, statement.Rollback:
			c.state = statement.Idle
		case statement.Prepare:
			c.prepared[s.Name] = s.Value
		case statement.Reset:
			clear(c.prepared)
		case statement.Execute:
			c.endpoint.ran = append(c.endpoint.ran, c.prepared[s.Name])
		}
		answers = append(answers, statement.Answer{State: c.state, Receipt: s.ID, Rows: []string{"a\xff"}})
	}
	return answers, nil
}

// holder is an instance that lends connections of one pool; it is also the peer dialer of its borrowers. Once holds is
// false, it no longer has connections to the endpoint.
type holder struct {
	endpoint *fakeEndpoint
	pool     *connection.Pool
	lender   *Lender
	ctx      context.Context
	holds    bool
}

func newHolder(t *testing.T, connections int) *holder {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h := &holder{endpoint: &fakeEndpoint{}, ctx: ctx, holds: true}
	h.pool = connection.New(connection.Options{Dialer: h.endpoint, Clock: clock.System{}, Logger: event.Discard(), Limit: connections})
	h.lender = NewLender(Options{
		Clock: clock.System{}, Logger: event.Discard(), IdleTimeout: func() time.Duration { return time.Minute },
		Pool: func(*wire.Loan) (*connection.Pool, bool) { return h.pool, h.holds },
	})
	return h
}

// Open connects a borrower to the lender.
func (h *holder) Open(ctx context.Context, _ string) (peer.Stream, error) {
	borrowerEnd, holderEnd := peer.Pipe(ctx)
	go func() {
		if frame, err := holderEnd.Receive(); err == nil {
			h.lender.Serve(h.ctx, frame.GetLoan(), holderEnd)
		}
		_ = holderEnd.Close()
	}()
	return borrowerEnd, nil
}

func (h *holder) borrow(t *testing.T) *Conn {
	t.Helper()
	dialer := Dialer{
		Context: h.ctx, Clock: clock.System{}, Logger: event.Discard(), Peers: h, Direct: h.endpoint, OnUnreachable: func(string) {}, OnSilence: func() {}, Health: NewHealth(clock.System{}),
		Holders: func(connection.Target) []member.Instance { return []member.Instance{{ID: "holder", Address: "holder"}} },
	}
	c, err := dialer.Dial(h.ctx, connection.Target{Endpoint: config.Endpoint{Name: "e", Database: "d"}}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	conn := c.(*Conn)
	conn.SetClass(limit.Class{Name: "1", Weight: 1}, time.Time{})
	t.Cleanup(conn.Close)
	return conn
}

func (h *holder) executed() []string {
	h.endpoint.mu.Lock()
	defer h.endpoint.mu.Unlock()
	return append([]string(nil), h.endpoint.steps...)
}

func deadlineIn(d time.Duration) time.Time { return time.Now().Add(d) }

func read(id string) statement.Step {
	return statement.Step{Request: statement.Request{ID: id, Kind: statement.Read, Text: "READ x"}}
}

func mustExchange(t *testing.T, c *Conn, steps ...statement.Step) []statement.Answer {
	t.Helper()
	answers, err := c.Exchange(context.Background(), deadlineIn(time.Second), steps...)
	if err != nil {
		t.Fatal(err)
	}
	return answers
}

// TestManyBorrowers guards against exceeding an endpoint's connection limit when there are more instances than connections:
// every borrower is served through the holder's pool.
func TestManyBorrowers(t *testing.T) {
	const connections, borrowers, rounds = 3, 20, 10
	h := newHolder(t, connections)
	var wait sync.WaitGroup
	for n := range borrowers {
		c := h.borrow(t)
		wait.Go(func() {
			for r := range rounds {
				id := fmt.Sprintf("q%d-%d", n, r)
				answers, err := c.Exchange(context.Background(), deadlineIn(3*time.Second), read(id))
				if err != nil || answers[0].Receipt != id || answers[0].Rows[0] != "a\xff" {
					t.Errorf("%s: %+v, %v", id, answers, err)
				}
			}
		})
	}
	wait.Wait()
	if h.endpoint.peak > connections {
		t.Errorf("%d connections at once, limit %d", h.endpoint.peak, connections)
	}
	if diff := cmp.Diff(borrowers*rounds, len(h.executed())); diff != "" {
		t.Error(diff)
	}
}

// TestTransaction checks that an open transaction has a connection to itself.
func TestTransaction(t *testing.T) {
	h := newHolder(t, 2)
	first, other := h.borrow(t), h.borrow(t)
	mustExchange(t, first, statement.ProxyStep(statement.Begin))
	mustExchange(t, other, read("other"))
	mustExchange(t, first, read("q1"), statement.ProxyStep(statement.Commit))
	want := []string{"1 begin ", "2 read ", "1 read ", "1 commit "}
	if diff := cmp.Diff(want, h.executed()); diff != "" {
		t.Error(diff)
	}
}

// TestState checks that settings and prepared statements are restored when a borrower is served by another connection.
func TestState(t *testing.T) {
	h, shape := newHolder(t, 2), statement.NewPrepared("READ ?", false)
	c, other := h.borrow(t), h.borrow(t)
	mustExchange(t, c, statement.ProxySet("zone", "utc"), statement.ProxyPrepare(shape))
	if diff := cmp.Diff(0, len(h.executed())); diff != "" {
		t.Errorf("steps reached the endpoint before any statement: %s", diff)
	}
	execute := statement.Step{Request: statement.Request{ID: "q1", Kind: statement.Execute, Name: shape.Name()}}
	mustExchange(t, c, execute)
	mustExchange(t, other, statement.ProxyStep(statement.Begin))
	mustExchange(t, c, execute)
	want := []string{
		"1 set zone", "1 prepare " + shape.Name(), "1 execute " + shape.Name(),
		"1 reset ", "1 begin ",
		"2 set zone", "2 prepare " + shape.Name(), "2 execute " + shape.Name(),
	}
	if diff := cmp.Diff(want, h.executed()); diff != "" {
		t.Error(diff)
	}
}

// TestBorrowerGone checks that the transaction of a disconnected borrower is rolled back and its connection reused.
func TestBorrowerGone(t *testing.T) {
	h := newHolder(t, 1)
	closed := h.borrow(t)
	mustExchange(t, closed, statement.ProxyStep(statement.Begin), read("q1"))
	closed.Close()
	mustExchange(t, h.borrow(t), read("q2"))
	want := []string{"1 begin ", "1 read ", "1 rollback ", "1 read "}
	if diff := cmp.Diff(want, h.executed()); diff != "" {
		t.Error(diff)
	}
}

// TestRefused checks that the verdict is "not run" and that nothing reached the endpoint when the holder has no free
// connection in time or no longer holds any.
func TestRefused(t *testing.T) {
	tests := map[string]struct {
		setup func(t *testing.T, h *holder)
		want  verdict.Reason
	}{
		"no free connection": {want: verdict.Overload, setup: func(t *testing.T, h *holder) {
			mustExchange(t, h.borrow(t), statement.ProxyStep(statement.Begin))
		}},
		"endpoint no longer held": {want: verdict.Leaving, setup: func(_ *testing.T, h *holder) { h.holds = false }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHolder(t, 1)
			test.setup(t, h)
			before := len(h.executed())
			answers, err := h.borrow(t).Exchange(context.Background(), deadlineIn(100*time.Millisecond), read("q1"))
			if err != nil {
				t.Fatal(err)
			}
			if f := answers[0].Failure; f == nil || f.Verdict != verdict.NotRun || f.Reason != test.want {
				t.Errorf("failure %v", f)
			}
			if diff := cmp.Diff(before, len(h.executed())); diff != "" {
				t.Errorf("steps reached the endpoint: %s", diff)
			}
		})
	}
}

// TestSilentEndpoint checks that a statement that the endpoint does not answer is not reported as unsent, and that the
// holder reports the lost connection before the borrower's deadline.
func TestSilentEndpoint(t *testing.T) {
	h := newHolder(t, 1)
	c := h.borrow(t)
	mustExchange(t, c, read("q1"))
	h.endpoint.mu.Lock()
	h.endpoint.silent = true
	h.endpoint.mu.Unlock()
	answers, err := c.Exchange(context.Background(), deadlineIn(200*time.Millisecond), read("q2"))
	if err == nil || len(answers) != 0 || errors.Is(err, connection.ErrUnsent) || !errors.Is(err, errEndpointLost) {
		t.Errorf("answers %v, error %v", answers, err)
	}
}

// TestDrain checks that idle borrowed connections are closed at once and that open transactions can finish.
func TestDrain(t *testing.T) {
	h := newHolder(t, 2)
	idle, inTransaction := h.borrow(t), h.borrow(t)
	mustExchange(t, idle, read("q1"))
	mustExchange(t, inTransaction, statement.ProxyStep(statement.Begin))
	h.lender.Drain()
	select {
	case <-idle.Broken():
	case <-time.After(time.Second):
		t.Error("idle connection was not closed")
	}
	if _, err := idle.Exchange(context.Background(), deadlineIn(time.Second), read("q2")); !errors.Is(err, connection.ErrUnsent) {
		t.Errorf("error of an exchange on a retired connection: %v, want ErrUnsent", err)
	}
	mustExchange(t, inTransaction, read("q3"), statement.ProxyStep(statement.Commit))
	select {
	case <-inTransaction.Broken():
	case <-time.After(time.Second):
		t.Error("connection was not closed after its transaction")
	}
}
