package loan

import (
	"context"
	"fmt"
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

// backend is an endpoint that keeps what its connections were told and how many there were at once.
type backend struct {
	mu    sync.Mutex
	open  int
	most  int
	made  int
	steps []string
	// mute lets exchanges wait until their deadline.
	mute bool
}

func (b *backend) Dial(context.Context, config.Endpoint) (connection.Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.made++
	b.open++
	b.most = max(b.most, b.open)
	return &link{backend: b, number: b.made, broken: make(chan struct{})}, nil
}

func (b *backend) Over(ctx context.Context, e config.Endpoint, _ net.Conn) (connection.Conn, error) {
	return b.Dial(ctx, e)
}

// link is a connection to the backend with its transaction state.
type link struct {
	backend *backend
	number  int
	state   statement.State
	broken  chan struct{}
	once    sync.Once
}

func (l *link) RoundTrip() time.Duration { return 0 }

func (l *link) Broken() <-chan struct{} { return l.broken }

func (l *link) Close() {
	l.once.Do(func() {
		close(l.broken)
		l.backend.mu.Lock()
		defer l.backend.mu.Unlock()
		l.backend.open--
	})
}

func (l *link) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	l.backend.mu.Lock()
	mute := l.backend.mute
	l.backend.mu.Unlock()
	if mute {
		_ = clock.Wait(ctx, clock.System{}, time.Until(deadline))
		l.Close()
		return nil, context.DeadlineExceeded
	}
	time.Sleep(2 * time.Millisecond)
	l.backend.mu.Lock()
	defer l.backend.mu.Unlock()
	answers := make([]statement.Answer, 0, len(steps))
	for _, s := range steps {
		l.backend.steps = append(l.backend.steps, fmt.Sprintf("%d %s %s", l.number, s.Kind, s.Name))
		switch s.Kind {
		case statement.Begin:
			l.state = statement.Open
		case statement.Commit, statement.Rollback:
			l.state = statement.Idle
		}
		answers = append(answers, statement.Answer{State: l.state, Receipt: s.ID, Rows: []string{"a\xff"}})
	}
	return answers, nil
}

// desk is a holder with a pool and the borrowers that dial it.
type desk struct {
	backend *backend
	pool    *connection.Pool
	lender  *Lender
	ctx     context.Context
	holds   bool
}

func open(t *testing.T, connections int) *desk {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &desk{backend: &backend{}, ctx: ctx, holds: true}
	d.pool = connection.New(connection.Options{Dialer: d.backend, Clock: clock.System{}, Logger: event.Discard(), Limit: connections})
	d.lender = NewLender(Options{
		Clock: clock.System{}, Logger: event.Discard(), Idle: func() time.Duration { return time.Minute },
		Pool: func(*wire.Loan) (*connection.Pool, bool) { return d.pool, d.holds },
	})
	return d
}

// Open connects a borrower.
func (d *desk) Open(ctx context.Context, _ string) (peer.Stream, error) {
	near, far := peer.Pipe(ctx)
	go func() {
		if first, err := far.Receive(); err == nil {
			d.lender.Serve(d.ctx, first.GetLoan(), far)
		}
		_ = far.Close()
	}()
	return near, nil
}

func (d *desk) borrow(t *testing.T) *Conn {
	t.Helper()
	dialer := Dialer{
		Context: d.ctx, Clock: clock.System{}, Logger: event.Discard(), Peers: d, Direct: d.backend, Doubt: func(string) {},
		Holders: func(config.Endpoint) []member.Instance { return []member.Instance{{ID: "holder", Address: "holder"}} },
	}
	c, err := dialer.Dial(d.ctx, config.Endpoint{Name: "e", Database: "d"})
	if err != nil {
		t.Fatal(err)
	}
	conn := c.(*Conn)
	conn.SetClass(limit.Class{Name: "1", Weight: 1})
	t.Cleanup(conn.Close)
	return conn
}

func (d *desk) told() []string {
	d.backend.mu.Lock()
	defer d.backend.mu.Unlock()
	return append([]string(nil), d.backend.steps...)
}

func within(d time.Duration) time.Time { return time.Now().Add(d) }

func read(id string) statement.Step {
	return statement.Step{Request: statement.Request{ID: id, Kind: statement.Read, Text: "READ x"}}
}

func must(t *testing.T, c *Conn, steps ...statement.Step) []statement.Answer {
	t.Helper()
	answers, err := c.Exchange(context.Background(), within(time.Second), steps...)
	if err != nil {
		t.Fatal(err)
	}
	return answers
}

// TestManyBorrowers answers the pattern of more instances than an endpoint takes connections: all are served and the
// endpoint never sees more than the holder has.
func TestManyBorrowers(t *testing.T) {
	const connections, borrowers, rounds = 3, 20, 10
	d := open(t, connections)
	var wait sync.WaitGroup
	for n := range borrowers {
		c := d.borrow(t)
		wait.Go(func() {
			for r := range rounds {
				id := fmt.Sprintf("q%d-%d", n, r)
				answers, err := c.Exchange(context.Background(), within(3*time.Second), read(id))
				if err != nil || answers[0].Receipt != id || answers[0].Rows[0] != "a\xff" {
					t.Errorf("%s: %+v, %v", id, answers, err)
				}
			}
		})
	}
	wait.Wait()
	if d.backend.most > connections {
		t.Errorf("%d connections at once, the holder may have %d", d.backend.most, connections)
	}
	if diff := cmp.Diff(borrowers*rounds, len(d.told())); diff != "" {
		t.Error(diff)
	}
}

// TestTransaction keeps a transaction on one connection, which nobody else uses meanwhile.
func TestTransaction(t *testing.T) {
	d := open(t, 2)
	first, second := d.borrow(t), d.borrow(t)
	must(t, first, statement.ProxyStep(statement.Begin))
	must(t, second, read("other"))
	must(t, first, read("q1"), statement.ProxyStep(statement.Commit))
	want := []string{"1 begin ", "2 read ", "1 read ", "1 commit "}
	if diff := cmp.Diff(want, d.told()); diff != "" {
		t.Error(diff)
	}
}

// TestState shows that settings and prepared statements follow the borrower from one connection to another.
func TestState(t *testing.T) {
	d := open(t, 2)
	c, other := d.borrow(t), d.borrow(t)
	must(t, c, statement.ProxySet("zone", "utc"), statement.ProxyPrepare("s1", "READ ?", false))
	if diff := cmp.Diff(0, len(d.told())); diff != "" {
		t.Errorf("steps before any statement: %s", diff)
	}
	execute := statement.Step{Request: statement.Request{ID: "q1", Kind: statement.Execute, Name: "s1"}}
	must(t, c, execute)
	must(t, other, statement.ProxyStep(statement.Begin))
	must(t, c, execute)
	want := []string{
		"1 set zone", "1 prepare s1", "1 execute s1",
		"1 reset ", "1 begin ",
		"2 set zone", "2 prepare s1", "2 execute s1",
	}
	if diff := cmp.Diff(want, d.told()); diff != "" {
		t.Error(diff)
	}
}

// TestBorrowerGone rolls back what a borrower left open and uses the connection again.
func TestBorrowerGone(t *testing.T) {
	d := open(t, 1)
	gone := d.borrow(t)
	must(t, gone, statement.ProxyStep(statement.Begin), read("q1"))
	gone.Close()
	must(t, d.borrow(t), read("q2"))
	want := []string{"1 begin ", "1 read ", "1 rollback ", "1 read "}
	if diff := cmp.Diff(want, d.told()); diff != "" {
		t.Error(diff)
	}
}

// TestRefused tells "not run" truly where the holder has no connection in time, or holds none any more.
func TestRefused(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, d *desk)
		want    verdict.Reason
	}{
		"all taken": {want: verdict.Overload, prepare: func(t *testing.T, d *desk) {
			must(t, d.borrow(t), statement.ProxyStep(statement.Begin))
		}},
		"holds none": {want: verdict.Unreachable, prepare: func(_ *testing.T, d *desk) { d.holds = false }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := open(t, 1)
			test.prepare(t, d)
			before := len(d.told())
			answers, err := d.borrow(t).Exchange(context.Background(), within(100*time.Millisecond), read("q1"))
			if err != nil {
				t.Fatal(err)
			}
			if f := answers[0].Failure; f == nil || f.Verdict != verdict.NotRun || f.Reason != test.want {
				t.Errorf("failure %v", f)
			}
			if diff := cmp.Diff(before, len(d.told())); diff != "" {
				t.Errorf("steps at the endpoint: %s", diff)
			}
		})
	}
}

// TestSilentEndpoint leaves the outcome open when the endpoint does not answer, before the borrower's time is up.
func TestSilentEndpoint(t *testing.T) {
	d := open(t, 1)
	c := d.borrow(t)
	must(t, c, read("q1"))
	d.backend.mu.Lock()
	d.backend.mute = true
	d.backend.mu.Unlock()
	answers, err := c.Exchange(context.Background(), within(200*time.Millisecond), read("q2"))
	if err == nil || len(answers) != 0 || errors.Is(err, connection.ErrUnsent) || !errors.Is(err, errBroken) {
		t.Errorf("answers %v, error %v", answers, err)
	}
}

// TestLeave retires idle borrowers at once and lets open transactions end.
func TestLeave(t *testing.T) {
	d := open(t, 2)
	idle, open := d.borrow(t), d.borrow(t)
	must(t, idle, read("q1"))
	must(t, open, statement.ProxyStep(statement.Begin))
	d.lender.Leave()
	select {
	case <-idle.Broken():
	case <-time.After(time.Second):
		t.Error("idle connection was not retired")
	}
	if _, err := idle.Exchange(context.Background(), within(time.Second), read("q2")); !errors.Is(err, connection.ErrUnsent) {
		t.Errorf("after that: %v", err)
	}
	must(t, open, read("q3"), statement.ProxyStep(statement.Commit))
	select {
	case <-open.Broken():
	case <-time.After(time.Second):
		t.Error("connection was not retired after its transaction")
	}
}
