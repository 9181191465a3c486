package connection

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

// countingDialer counts the connections that are open or being opened.
type countingDialer struct {
	delay time.Duration

	mu sync.Mutex
	// open is the number of connections, most the greatest so far, and dialed the number of attempts.
	open, most, dialed int
	// failures is the number of attempts to come that fail.
	failures int
	conns    map[*countedConn]bool
}

// countedConn is a connection of a countingDialer.
type countedConn struct {
	fakeConn
	dialer    *countingDialer
	workspace string
	once      sync.Once
}

func (c *countedConn) Close() {
	c.once.Do(func() {
		c.fakeConn.Close()
		c.dialer.mu.Lock()
		defer c.dialer.mu.Unlock()
		c.dialer.open--
		delete(c.dialer.conns, c)
	})
}

func (d *countingDialer) Dial(_ context.Context, target Target, _ time.Duration) (Conn, error) {
	d.mu.Lock()
	d.dialed++
	d.open++
	d.most = max(d.most, d.open)
	fails := d.failures > 0
	if fails {
		d.failures--
	}
	d.mu.Unlock()
	time.Sleep(d.delay)
	d.mu.Lock()
	defer d.mu.Unlock()
	if fails {
		d.open--
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "refused")
	}
	c := &countedConn{fakeConn: fakeConn{broken: make(chan struct{})}, dialer: d, workspace: target.Workspace}
	if d.conns == nil {
		d.conns = make(map[*countedConn]bool)
	}
	d.conns[c] = true
	return c, nil
}

func (d *countingDialer) DialOver(ctx context.Context, target Target, _ net.Conn) (Conn, error) {
	return d.Dial(ctx, target, 0)
}

// reset closes n connections as if the endpoint had.
func (d *countingDialer) reset(n int) {
	d.mu.Lock()
	var victims []*countedConn
	for c := range d.conns {
		if len(victims) < n {
			victims = append(victims, c)
		}
	}
	d.mu.Unlock()
	for _, c := range victims {
		c.Close()
	}
}

// openByWorkspace returns the number of open connections of each workspace.
func (d *countingDialer) openByWorkspace() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]int)
	for c := range d.conns {
		out[c.workspace]++
	}
	return out
}

func newWorkspacePool(d Dialer, limit, inFlight int) *Pool {
	return New(Options{Dialer: d, Clock: clock.System{}, Logger: event.Discard(), Limit: limit, InFlight: inFlight, ByWorkspace: true}).withFullWindow()
}

func demandOf(workspace string) Demand {
	return Demand{Workspace: workspace, Class: limit.Class{Name: "main"}, Deadline: time.Now().Add(time.Second)}
}

func (p *Pool) mustAcquireFor(t *testing.T, workspace string) *PooledConn {
	t.Helper()
	h, err := p.Acquire(t.Context(), demandOf(workspace))
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// TestOpenWithinLimit guards against TOOMANY: whatever statements, failures to connect, resets by the endpoint and changes of the
// limit coincide, never more connections are open than the limit allows, and none is lent to another workspace.
func TestOpenWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(rt, "limit")
		inFlight := rapid.IntRange(1, 6).Draw(rt, "in flight")
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 120).Draw(rt, "steps")
		workspaces := rapid.IntRange(1, 9).Draw(rt, "workspaces")
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			d := &countingDialer{delay: 12 * time.Millisecond}
			p := newWorkspacePool(d, limit, inFlight)
			var running sync.WaitGroup
			for n, step := range steps {
				workspace := fmt.Sprint("w", step%workspaces)
				switch step % 10 {
				case 0:
					d.reset(1 + step/40)
				case 1:
					d.mu.Lock()
					d.failures = step / 30
					d.mu.Unlock()
				case 2:
					p.Trim()
				default:
					running.Go(func() { useConnection(t, p, workspace, step) })
				}
				time.Sleep(time.Duration(step*n%13) * time.Millisecond)
			}
			running.Wait()
			p.Close()
			<-p.Done()
			if d.most > limit {
				problem = fmt.Sprintf("%d connections were open, the limit is %d", d.most, limit)
			}
			if d.open != 0 || p.usage.open != 0 || len(p.usage.byWorkspace) != 0 {
				problem = fmt.Sprintf("after the end %d connections are open, counted %+v", d.open, p.usage)
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// useConnection runs a statement or a transaction with a pause on a connection of a workspace.
func useConnection(t *testing.T, p *Pool, workspace string, step int) {
	h, err := p.Acquire(t.Context(), demandOf(workspace))
	if err != nil {
		return
	}
	if got := h.Conn.(*countedConn).workspace; got != workspace {
		t.Errorf("a statement of %s got a connection of %s", workspace, got)
	}
	started := time.Now()
	_, _ = h.Exchange(t.Context(), time.Now().Add(time.Second), statement.ProxyStep(statement.Begin))
	if step%4 == 0 {
		h.MarkIdleInTransaction()
	}
	time.Sleep(time.Duration(step%50) * time.Millisecond)
	p.Release(h, step%7 != 0, time.Since(started))
}

// TestEviction answers the pattern of a workspace without a connection at a pool whose connections others have and don't use: it
// gets one in the time that opening it takes, and the workspace that has two gives up one.
func TestEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const openTime = 12 * time.Millisecond
		d := &countingDialer{delay: openTime}
		p := newWorkspacePool(d, 3, 3)
		large, other, small := p.mustAcquireFor(t, "large"), p.mustAcquireFor(t, "large"), p.mustAcquireFor(t, "small")
		p.Release(small, true, time.Millisecond)
		time.Sleep(time.Millisecond)
		p.Release(large, true, time.Millisecond)
		p.Release(other, true, time.Millisecond)
		time.Sleep(time.Second)
		started := time.Now()
		p.Release(p.mustAcquireFor(t, "new"), true, time.Millisecond)
		if took := time.Since(started); took > openTime {
			t.Errorf("a workspace without a connection waited %s", took)
		}
		if diff := cmp.Diff(map[string]int{"large": 1, "small": 1, "new": 1}, d.openByWorkspace()); diff != "" {
			t.Error(diff)
		}
	})
}

// TestHandOver answers the pattern of statements that wait while others' connections are being opened, one at a time: a released
// connection goes to the statement of its workspace that waits.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDialer{}
		p := newWorkspacePool(d, 8, 8)
		held := p.mustAcquireFor(t, "a")
		d.delay = 500 * time.Millisecond
		var running sync.WaitGroup
		running.Go(func() { p.Release(p.mustAcquireFor(t, "b"), true, time.Millisecond) })
		time.Sleep(10 * time.Millisecond)
		time.AfterFunc(20*time.Millisecond, func() { p.Release(held, true, time.Millisecond) })
		started := time.Now()
		if got := p.mustAcquireFor(t, "a"); got != held || time.Since(started) > 20*time.Millisecond {
			t.Errorf("did not get the released connection, after %s", time.Since(started))
		}
		p.Release(held, true, time.Millisecond)
		running.Wait()
	})
}

// TestTrimByWorkspace checks that the last connection of a workspace is kept, and a lowered limit closes the connections beyond it.
func TestTrimByWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDialer{}
		p := newWorkspacePool(d, 8, 8)
		var held []*PooledConn
		for _, workspace := range []string{"a", "a", "a", "b", "c"} {
			held = append(held, p.mustAcquireFor(t, workspace))
		}
		for _, h := range held {
			p.Release(h, true, time.Millisecond)
		}
		time.Sleep(workspaceIdleTimeout + time.Second)
		p.Trim()
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 1, "c": 1}, d.openByWorkspace()); diff != "" {
			t.Error(diff)
		}
		p.Resize(2, 2)
		if d.open != 2 {
			t.Errorf("%d connections are open after the limit was lowered to 2", d.open)
		}
	})
}

// TestRedialForWorkspace checks that the attempt in the background after failures to connect is made for the workspace whose
// statement asked for it, and that connections of others do not hide the failure.
func TestRedialForWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDialer{}
		p := newWorkspacePool(d, 8, 8)
		p.Release(p.mustAcquireFor(t, "a"), true, time.Millisecond)
		d.failures = failuresToOpen
		for range failuresToOpen {
			_, _ = p.Acquire(t.Context(), demandOf("b"))
		}
		time.Sleep(maxRedialPause)
		if _, err := p.Acquire(t.Context(), demandOf("b")); verdict.From(err).Reason != verdict.Unreachable {
			t.Errorf("got %v while the attempt in the background is due", err)
		}
		<-p.Done()
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 1}, d.openByWorkspace()); diff != "" {
			t.Error(diff)
		}
		p.mustAcquireFor(t, "b")
	})
}

// TestUnansweredStatements answers the pattern of an endpoint that leaves a part of its statements unanswered: the others are served
// meanwhile, though the pool may have only as many in flight.
func TestUnansweredStatements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const inFlight, deadline = 2, 800 * time.Millisecond
		d := &silentDialer{}
		p := newWorkspacePool(d, 8, inFlight)
		run := func(workspace string) {
			h, err := p.Acquire(t.Context(), demandOf(workspace))
			if err != nil {
				t.Errorf("statement of %s was not run: %v", workspace, err)
				return
			}
			sent := time.Now()
			_, err = h.Exchange(t.Context(), sent.Add(deadline), statement.ProxyStep(statement.Read))
			p.Release(h, err == nil, time.Since(sent))
		}
		run("served")
		var running sync.WaitGroup
		for range inFlight {
			running.Go(func() { run("silent") })
			time.Sleep(time.Millisecond)
			running.Go(func() { run("served") })
			time.Sleep(50 * time.Millisecond)
		}
		for range 20 {
			started := time.Now()
			run("served")
			if took := time.Since(started); took > deadline/4 {
				t.Errorf("a statement took %s beside unanswered ones", took)
			}
		}
		running.Wait()
	})
}

// silentDialer opens connections that do not answer the workspace "silent", and answer others in 5 ms.
type silentDialer struct{ countingDialer }

func (d *silentDialer) Dial(_ context.Context, target Target, _ time.Duration) (Conn, error) {
	return &silentConn{fakeConn: fakeConn{broken: make(chan struct{})}, silent: target.Workspace == "silent"}, nil
}

type silentConn struct {
	fakeConn
	silent bool
}

func (c *silentConn) Exchange(_ context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	if c.silent {
		time.Sleep(time.Until(deadline))
		return nil, context.DeadlineExceeded
	}
	time.Sleep(5 * time.Millisecond)
	return make([]statement.Answer, len(steps)), nil
}
