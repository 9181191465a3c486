package connection

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

// fakeConn is a connection that does nothing.
type fakeConn struct {
	roundTrip time.Duration
	broken    chan struct{}
}

func (c *fakeConn) Exchange(context.Context, time.Time, ...statement.Step) ([]statement.Answer, error) {
	return nil, nil
}
func (c *fakeConn) RoundTrip() time.Duration { return c.roundTrip }
func (c *fakeConn) Broken() <-chan struct{}  { return c.broken }

func (c *fakeConn) Close() {
	select {
	case <-c.broken:
	default:
		close(c.broken)
	}
}

// fakeDialer counts the connections it has opened and those being opened at once.
type fakeDialer struct {
	mu         sync.Mutex
	made       int
	current    int
	maxCurrent int
	delay      time.Duration
	// roundTrip is the round-trip time of the connections opened.
	roundTrip time.Duration
	fail      bool
	silent    bool
	attempts  int
}

func (d *fakeDialer) setSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

func (d *fakeDialer) Dial(ctx context.Context, _ Target, connectTimeout time.Duration) (Conn, error) {
	d.mu.Lock()
	d.attempts++
	if d.silent {
		d.mu.Unlock()
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		<-ctx.Done()
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "timeout").WithCause(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
	}
	d.current++
	d.maxCurrent = max(d.maxCurrent, d.current)
	d.mu.Unlock()
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current--
	if d.fail {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "refused")
	}
	d.made++
	return &fakeConn{roundTrip: d.roundTrip, broken: make(chan struct{})}, nil
}

// DialOver returns a connection over any link.
func (d *fakeDialer) DialOver(context.Context, Target, net.Conn) (Conn, error) {
	return &fakeConn{broken: make(chan struct{})}, nil
}

func newPool(d *fakeDialer, limit int) *Pool {
	return New(Options{Dialer: d, Clock: clock.System{}, Logger: event.Discard(), Limit: limit}).withFullWindow()
}

// withFullWindow widens the window to the limit, as after a long time without refusals.
func (p *Pool) withFullWindow() *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window = limit.NewWindow(windowLimit(p.options.Limit, p.options.InFlight), time.Now().Add(-time.Hour))
	p.updateCapacityLocked()
	return p
}

func (p *Pool) mustAcquire(t *testing.T, settings map[string]string) *PooledConn {
	t.Helper()
	h, err := p.Acquire(context.Background(), Demand{Class: limit.Class{Name: "main"}, Deadline: time.Now().Add(time.Second), Settings: settings})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestDialsOneAtATime guards against exhausting the slots of an endpoint at a start under load. The endpoint gives a
// slot to each new connection, so many at once would leave none for statements.
func TestDialsOneAtATime(t *testing.T) {
	d := &fakeDialer{delay: 5 * time.Millisecond}
	p := newPool(d, 8)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			h := p.mustAcquire(t, nil)
			p.Release(h, true, time.Millisecond)
		})
	}
	wait.Wait()
	if d.maxCurrent != 1 {
		t.Errorf("%d connections were opened at once, want 1", d.maxCurrent)
	}
	if d.made == 8 {
		t.Error("released connections were not reused")
	}
}

// TestReuse checks that a connection with the session's settings is preferred and that a broken one is never returned.
func TestReuse(t *testing.T) {
	d := &fakeDialer{}
	p := newPool(d, 3)
	utc := map[string]string{"zone": "utc"}
	a, b := p.mustAcquire(t, nil), p.mustAcquire(t, nil)
	a.recordSuccess(a.Setup(utc))
	p.Release(a, true, 0)
	p.Release(b, true, 0)
	if got := p.mustAcquire(t, utc); got != a {
		t.Error("got a connection with other settings")
	}
	b.Close()
	if got := p.mustAcquire(t, nil); got == b {
		t.Error("got a broken connection")
	}
}

// TestLimit checks that a request is refused if no connection becomes free before its deadline.
func TestLimit(t *testing.T) {
	p := newPool(&fakeDialer{}, 1)
	held := p.mustAcquire(t, nil)
	_, err := p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(20 * time.Millisecond)})
	if got := verdict.From(err); got.Verdict != verdict.NotRun || got.Reason != verdict.Overload {
		t.Errorf("got %v", err)
	}
	p.Release(held, false, 0)
	if p.mustAcquire(t, nil) == held {
		t.Error("got a connection that must not be reused")
	}
}

// TestUnreachable checks that the pool stops dialing an unreachable endpoint for a while, and that a statement after that
// makes it reach the endpoint again.
func TestUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{fail: true}
		p := newPool(d, 2)
		for range 20 {
			_, _ = p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(time.Second)})
		}
		if d.attempts != failuresToOpen {
			t.Errorf("%d attempts to connect, want %d", d.attempts, failuresToOpen)
		}
		if d.fail = false; p.Used() != 0 {
			t.Errorf("%d connections are in use, want 0", p.Used())
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(time.Second)})
		<-p.Done()
		p.mustAcquire(t, nil)
	})
}

// failuresToOpen is the number of refused connections after which the endpoint counts as unreachable.
const failuresToOpen = 3

// TestSilentEndpoint checks that at most one statement waits for an endpoint that has stopped answering, and no longer than
// a few round trips. Statements waited up to their deadlines for it, although other endpoints could serve them.
func TestSilentEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := &fakeDialer{roundTrip: 5 * time.Millisecond}
		p := New(Options{Context: ctx, Dialer: d, Clock: clock.System{}, Logger: event.Discard(), Limit: 8}).withFullWindow()
		p.Release(p.mustAcquire(t, nil), false, 0)
		d.setSilent(true)
		var wait sync.WaitGroup
		for n := range 100 {
			time.Sleep(10 * time.Millisecond)
			wait.Go(func() {
				started := time.Now()
				_, err := p.Acquire(ctx, Demand{Class: limit.Class{Name: "main"}, Deadline: started.Add(780 * time.Millisecond)})
				if got := verdict.From(err).Reason; got != verdict.Unreachable {
					t.Errorf("statement %d: got %v", n, err)
				}
				if took := time.Since(started); took > 100*time.Millisecond || n > 10 && took > 0 {
					t.Errorf("statement %d waited %s for an endpoint that does not answer", n, took)
				}
			})
		}
		wait.Wait()
		d.setSilent(false)
		time.Sleep(maxRedialPause)
		_, _ = p.Acquire(ctx, Demand{Class: limit.Class{Name: "main"}, Deadline: time.Now().Add(time.Second)})
		<-p.Done()
		p.mustAcquire(t, nil)
		cancel()
	})
}

// TestNoMoreConnections checks that a statement waits for a connection in use if the endpoint refuses to accept more.
func TestNoMoreConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		p := newPool(d, 2)
		held := p.mustAcquire(t, nil)
		d.fail = true
		for range failuresToOpen {
			_, _ = p.Acquire(t.Context(), Demand{Deadline: time.Now().Add(time.Second)})
		}
		p.Resize(1, 0)
		time.AfterFunc(20*time.Millisecond, func() { p.Release(held, true, time.Millisecond) })
		if got := p.mustAcquire(t, nil); got != held {
			t.Error("got another connection than the one that was released")
		}
	})
}

// TestRedialAfterClose checks that closing a pool ends an attempt to connect in the background.
func TestRedialAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{}
		p := newPool(d, 2)
		d.setSilent(true)
		_, _ = p.Acquire(t.Context(), Demand{Deadline: time.Now().Add(time.Second)})
		time.Sleep(maxRedialPause)
		_, _ = p.Acquire(t.Context(), Demand{Deadline: time.Now().Add(time.Second)})
		closed := time.Now()
		p.Close()
		<-p.Done()
		if took := time.Since(closed); took > 0 {
			t.Errorf("the attempt ended %s after the pool was closed", took)
		}
	})
}

// recordSuccess records that the endpoint has run all steps.
func (h *PooledConn) recordSuccess(steps []statement.Step) {
	h.record(steps, make([]statement.Answer, len(steps)))
}

func TestSetup(t *testing.T) {
	set := func(name, value string) statement.Step { return statement.ProxySet(name, value) }
	tests := map[string]struct {
		before, wanted map[string]string
		uncertain      bool
		want           []statement.Step
	}{
		"empty":     {},
		"same":      {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1"}},
		"changed":   {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "2"}, want: []statement.Step{set("a", "2")}},
		"added":     {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1", "b": "2"}, want: []statement.Step{set("b", "2")}},
		"removed":   {before: map[string]string{"a": "1"}, want: []statement.Step{statement.ProxyStep(statement.Reset)}},
		"uncertain": {before: map[string]string{"a": "1"}, wanted: map[string]string{"a": "1"}, uncertain: true, want: []statement.Step{statement.ProxyStep(statement.Reset), set("a", "1")}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &PooledConn{}
			h.recordSuccess(h.Setup(test.before))
			if test.uncertain {
				h.MarkUncertain()
			}
			if diff := cmp.Diff(test.want, h.Setup(test.wanted)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestPrepare checks that a reset connection forgets its prepared statements.
func TestPrepare(t *testing.T) {
	h, s := &PooledConn{}, statement.NewPrepared("shape", false)
	prepare := []statement.Step{statement.ProxyPrepare(s)}
	first := h.Setup(nil, s)
	h.recordSuccess(first)
	if diff := cmp.Diff(prepare, first); diff != "" {
		t.Error(diff)
	}
	if again := h.Setup(nil, s); len(again) != 0 {
		t.Errorf("statement is prepared twice: %v", again)
	}
	h.recordSuccess(h.Setup(map[string]string{"a": "1"}))
	h.recordSuccess(h.Setup(nil))
	if diff := cmp.Diff(prepare, h.Setup(nil, s)); diff != "" {
		t.Errorf("statement counts as prepared on a reset connection: %s", diff)
	}
}

// TestDetour checks that a detour is used if the network fails, but not if the endpoint itself refuses.
func TestDetour(t *testing.T) {
	for name, test := range map[string]struct {
		err     error
		detours int
	}{
		"network failure":  {err: verdict.New(verdict.NotRun, verdict.Unreachable, "timeout").WithCause(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}), detours: 2},
		"slow to start":    {err: verdict.New(verdict.NotRun, verdict.Unreachable, "timeout").WithCause(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded})},
		"endpoint refuses": {err: verdict.New(verdict.NotRun, verdict.Unreachable, "refused").WithCause(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED})},
		"too many":         {err: verdict.New(verdict.NotRun, verdict.TooManyConnections, "too many")},
	} {
		t.Run(name, func(t *testing.T) {
			detours := 0
			p := New(Options{Dialer: failingDialer{err: test.err}, Clock: clock.System{}, Logger: event.Discard(), Limit: 3, Detour: func(context.Context, config.Endpoint) (net.Conn, error) {
				detours++
				near, _ := net.Pipe()
				return near, nil
			}}).withFullWindow()
			for range 3 {
				_, _ = p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(time.Second)})
				<-p.Done()
			}
			if detours != test.detours {
				t.Errorf("%d detours", detours)
			}
		})
	}
}

// failingDialer opens connections only over a detour.
type failingDialer struct {
	err error
}

func (f failingDialer) Dial(context.Context, Target, time.Duration) (Conn, error) {
	return nil, f.err
}

func (failingDialer) DialOver(context.Context, Target, net.Conn) (Conn, error) {
	return &fakeConn{broken: make(chan struct{})}, nil
}

// TestDialWaitIsBounded checks that a request waiting for a connection that another request is opening is refused in
// time.
func TestDialWaitIsBounded(t *testing.T) {
	p := newPool(&fakeDialer{delay: 500 * time.Millisecond}, 3)
	go func() { _, _ = p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(time.Second)}) }()
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	_, err := p.Acquire(context.Background(), Demand{Deadline: started.Add(150 * time.Millisecond)})
	if took := time.Since(started); err == nil || took > 150*time.Millisecond {
		t.Errorf("got %v after %s of 150 ms", err, took)
	}
}

// TestConcurrentDialsByRoundTrip checks that several connections are opened at once to a distant endpoint, where the
// network and not the endpoint's work takes most of the time.
func TestConcurrentDialsByRoundTrip(t *testing.T) {
	tests := map[string]struct {
		roundTrip time.Duration
		want      int
	}{
		"same region": {roundTrip: 3 * time.Millisecond, want: 1},
		"next region": {roundTrip: 30 * time.Millisecond, want: 2},
		"distant":     {roundTrip: 300 * time.Millisecond, want: maxConcurrentDials},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &fakeDialer{delay: 30 * time.Millisecond, roundTrip: test.roundTrip}
				p := newPool(d, 12)
				p.mustAcquire(t, nil)
				var wait sync.WaitGroup
				for range 8 {
					wait.Go(func() { p.mustAcquire(t, nil) })
				}
				wait.Wait()
				if diff := cmp.Diff(test.want, d.maxCurrent); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}
