package connection

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

// conn is a connection that does nothing.
type conn struct {
	roundTrip time.Duration
	broken    chan struct{}
}

func (c *conn) Exchange(context.Context, time.Time, ...statement.Step) ([]statement.Answer, error) {
	return nil, nil
}
func (c *conn) RoundTrip() time.Duration { return c.roundTrip }
func (c *conn) Broken() <-chan struct{}  { return c.broken }

func (c *conn) Close() {
	select {
	case <-c.broken:
	default:
		close(c.broken)
	}
}

// dialer counts the connections that it makes, and those made at the same time.
type dialer struct {
	mu    sync.Mutex
	made  int
	now   int
	most  int
	delay time.Duration
	// away is the round trip of the connections made.
	away   time.Duration
	refuse bool
}

func (d *dialer) Dial(context.Context, config.Endpoint) (Conn, error) {
	d.mu.Lock()
	d.now++
	d.most = max(d.most, d.now)
	d.mu.Unlock()
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now--
	if d.refuse {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "refused")
	}
	d.made++
	return &conn{roundTrip: d.away, broken: make(chan struct{})}, nil
}

// Over makes a connection over any link.
func (d *dialer) Over(context.Context, config.Endpoint, net.Conn) (Conn, error) {
	return &conn{broken: make(chan struct{})}, nil
}

func newPool(d *dialer, limit int) *Pool {
	return New(Options{Dialer: d, Clock: clock.System{}, Logger: event.Discard(), Limit: limit}).grown()
}

// grown lets the pool use as many connections at once as it may have, as after some time without a refusal.
func (p *Pool) grown() *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window = limit.NewWindow(p.options.Limit, time.Now().Add(-time.Hour))
	p.admit()
	return p
}

func (p *Pool) must(t *testing.T, settings map[string]string) *Held {
	t.Helper()
	h, err := p.Acquire(context.Background(), limit.Class{Name: "main"}, time.Now().Add(time.Second), settings)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestDialsOneAtATime answers the pattern of a start under load: endpoints give a slot to each new connection, so many at
// once leave none for statements.
func TestDialsOneAtATime(t *testing.T) {
	d := &dialer{delay: 5 * time.Millisecond}
	p := newPool(d, 8)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			h := p.must(t, nil)
			p.Release(h, true, time.Millisecond)
		})
	}
	wait.Wait()
	if d.most != 1 {
		t.Errorf("%d connections were made at once", d.most)
	}
	if d.made == 8 {
		t.Error("connections that came back were not used")
	}
}

// TestReuse prefers a connection with the session's settings, and never gives out a broken one.
func TestReuse(t *testing.T) {
	d := &dialer{}
	p := newPool(d, 3)
	utc := map[string]string{"zone": "utc"}
	a, b := p.must(t, nil), p.must(t, nil)
	a.Fit(utc)
	p.Release(a, true, 0)
	p.Release(b, true, 0)
	if got := p.must(t, utc); got != a {
		t.Error("connection with other settings was given")
	}
	b.Close()
	if got := p.must(t, nil); got == b {
		t.Error("broken connection was given")
	}
}

// TestLimit refuses in time what finds no connection.
func TestLimit(t *testing.T) {
	p := newPool(&dialer{}, 1)
	held := p.must(t, nil)
	_, err := p.Acquire(context.Background(), limit.Class{}, time.Now().Add(20*time.Millisecond), nil)
	if got := verdict.From(err); got.Verdict != verdict.NotRun || got.Reason != verdict.Overload {
		t.Errorf("got %v", err)
	}
	p.Release(held, false, 0)
	if p.must(t, nil) == held {
		t.Error("connection that may not be used again was given")
	}
}

// TestUnreachable stops dialling an endpoint that can't be reached, for a while.
func TestUnreachable(t *testing.T) {
	d := &dialer{refuse: true}
	p := newPool(d, 2)
	for range 20 {
		_, _ = p.Acquire(context.Background(), limit.Class{}, time.Now().Add(time.Second), nil)
	}
	if d.refuse = false; p.Used() != 0 {
		t.Errorf("%d connections are held", p.Used())
	}
	time.Sleep(60 * time.Millisecond)
	p.must(t, nil)
}

func TestFit(t *testing.T) {
	set := func(name, value string) statement.Step { return statement.ProxySet(name, value) }
	tests := map[string]struct {
		before, wanted map[string]string
		doubt          bool
		want           []statement.Step
	}{
		"nothing":   {},
		"same":      {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1"}},
		"another":   {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "2"}, want: []statement.Step{set("a", "2")}},
		"more":      {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1", "b": "2"}, want: []statement.Step{set("b", "2")}},
		"fewer":     {before: map[string]string{"a": "1"}, want: []statement.Step{statement.ProxyStep(statement.Reset)}},
		"uncertain": {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1"}, doubt: true, want: []statement.Step{statement.ProxyStep(statement.Reset), set("a", "1")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Held{}
			h.Fit(test.before)
			if test.doubt {
				h.Doubt()
			}
			if diff := cmp.Diff(test.want, h.Fit(test.wanted)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPrepare forgets what was prepared once the connection is cleared.
func TestPrepare(t *testing.T) {
	h := &Held{}
	if len(h.Prepare("s", "shape", false)) != 1 || len(h.Prepare("s", "shape", false)) != 0 {
		t.Error("statement is not prepared once")
	}
	h.Fit(map[string]string{"a": "1"})
	h.Fit(nil)
	if len(h.Prepare("s", "shape", false)) != 1 {
		t.Error("statement is taken for prepared on a cleared connection")
	}
}

// TestDetour goes by way of another instance while the direct way is cut, and not when the endpoint itself refuses.
func TestDetour(t *testing.T) {
	for name, test := range map[string]struct {
		err     error
		detours int
	}{
		"way is cut":       {err: verdict.New(verdict.NotRun, verdict.Unreachable, "timeout").WithCause(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}), detours: 2},
		"slow to start":    {err: verdict.New(verdict.NotRun, verdict.Unreachable, "timeout").WithCause(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})},
		"endpoint refuses": {err: verdict.New(verdict.NotRun, verdict.Unreachable, "refused").WithCause(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})},
		"too many":         {err: verdict.New(verdict.NotRun, verdict.Connections, "too many")},
	} {
		t.Run(name, func(t *testing.T) {
			detours := 0
			p := New(Options{Dialer: failing{err: test.err}, Clock: clock.System{}, Logger: event.Discard(), Limit: 3, Detour: func(context.Context, config.Endpoint) (net.Conn, error) {
				detours++
				near, _ := net.Pipe()
				return near, nil
			}}).grown()
			for range 2 {
				_, _ = p.Acquire(context.Background(), limit.Class{}, time.Now().Add(time.Second), nil)
			}
			if detours != test.detours {
				t.Errorf("%d detours", detours)
			}
		})
	}
}

// failing reaches endpoints only over a detour.
type failing struct {
	err error
}

func (f failing) Dial(context.Context, config.Endpoint) (Conn, error) { return nil, f.err }

func (failing) Over(context.Context, config.Endpoint, net.Conn) (Conn, error) {
	return &conn{broken: make(chan struct{})}, nil
}

// TestDialWaitIsBounded refuses in time what waits for the connection that another is making.
func TestDialWaitIsBounded(t *testing.T) {
	p := newPool(&dialer{delay: 500 * time.Millisecond}, 3)
	go func() { _, _ = p.Acquire(context.Background(), limit.Class{}, time.Now().Add(time.Second), nil) }()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	_, err := p.Acquire(context.Background(), limit.Class{}, started.Add(150*time.Millisecond), nil)
	if took := time.Since(started); err == nil || took > 150*time.Millisecond {
		t.Errorf("got %v after %s of 150 ms", err, took)
	}
}

// TestDialsAtDistance answers the pattern of a start before far endpoints: where the way takes the time of a new
// connection, and not the endpoint's work, several are made at once.
func TestDialsAtDistance(t *testing.T) {
	tests := map[string]struct {
		away time.Duration
		want int
	}{
		"same region": {away: 3 * time.Millisecond, want: 1},
		"next region": {away: 30 * time.Millisecond, want: 2},
		"far":         {away: 300 * time.Millisecond, want: dialMaximum},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &dialer{delay: 30 * time.Millisecond, away: test.away}
			p := newPool(d, 12)
			p.must(t, nil)
			var wait sync.WaitGroup
			for range 8 {
				wait.Go(func() { p.must(t, nil) })
			}
			wait.Wait()
			if diff := cmp.Diff(test.want, d.most); diff != "" {
				t.Error(diff)
			}
		})
	}
}
