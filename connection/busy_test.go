package connection

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"siskincove/statement"
	"siskincove/verdict"
)

// TestTooLateIsOverload checks that a pool which is busy opening connections does not claim that the endpoint can't be reached.
func TestTooLateIsOverload(t *testing.T) {
	tests := map[string]struct {
		dialer Dialer
		// busy is set if another workspace's connection is being opened.
		busy bool
	}{
		"waits for its turn": {dialer: &countingDialer{delay: 300 * time.Millisecond}, busy: true},
		"dial is cut short":  {dialer: &fakeDialer{silent: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newWorkspacePool(test.dialer, 4, 4)
				defer p.Close()
				if test.busy {
					go func() { _, _ = p.Acquire(t.Context(), demandOf("a")) }()
					synctest.Wait()
				}
				for range 4 {
					d := demandOf("b")
					d.Deadline = time.Now().Add(60 * time.Millisecond)
					_, err := p.Acquire(t.Context(), d)
					var got *verdict.Error
					if !errors.As(err, &got) || got.Verdict != verdict.NotRun || got.Reason != verdict.Overload || got.RetryAfter <= 0 {
						t.Errorf("error is %v, want overload with a time to retry after", err)
					}
				}
				if p.circuit.Failed() {
					t.Error("lack of time opened the circuit")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// lenderDialer borrows connections of all workspaces but one, whose holders fail.
type lenderDialer struct {
	countingDialer
	failing string
}

func (d *lenderDialer) Dial(ctx context.Context, target Target, timeout time.Duration) (Conn, error) {
	if target.Workspace == d.failing {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no holder answers").WithCause(ErrLender)
	}
	return d.countingDialer.Dial(ctx, target, timeout)
}

// TestFailingLenders checks that the holders of one workspace's connections do not keep others from theirs.
func TestFailingLenders(t *testing.T) {
	p := newWorkspacePool(&lenderDialer{failing: "a"}, 4, 4)
	defer p.Close()
	for range 2 * 3 {
		if _, err := p.Acquire(t.Context(), demandOf("a")); !errors.Is(err, ErrLender) {
			t.Errorf("error is %v, want one of the lender", err)
		}
	}
	p.Release(p.mustAcquireFor(t, "b"), true, 0)
}

// TestClosedPoolOpensNothing checks that statements which wait when the pool is closed, or come later, open no connections beside
// those of its successor.
func TestClosedPoolOpensNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDialer{}
		p := newWorkspacePool(d, 1, 4)
		held := p.mustAcquireFor(t, "a")
		refused := make(chan error, 2)
		acquire := func() {
			_, err := p.Acquire(t.Context(), demandOf("b"))
			refused <- err
		}
		go acquire()
		synctest.Wait()
		p.Close()
		p.Release(held, true, 0)
		go acquire()
		closed := time.Now()
		for range 2 {
			if got := verdict.From(<-refused); got == nil || got.Verdict != verdict.NotRun || got.Reason != verdict.Leaving {
				t.Errorf("error is %v, want leaving", got)
			}
		}
		if d.dialed != 1 || time.Since(closed) > 0 {
			t.Errorf("%d connections were opened, %s passed; want 1 at once", d.dialed, time.Since(closed))
		}
	})
}

// guardedConn is a connection to another instance whose exchange panics.
type guardedConn struct{ fakeConn }

func (*guardedConn) ExchangeGuarded(context.Context, time.Time, int, ...statement.Step) ([]statement.Answer, bool, error) {
	panic("exchange")
}

// TestGuardedExchangePanics checks that a connection whose guarded exchange panicked is not used again.
func TestGuardedExchangePanics(t *testing.T) {
	p := newWorkspacePool(&countingDialer{}, 1, 1)
	defer p.Close()
	h := p.mustAcquireFor(t, "a")
	h.Conn = &guardedConn{fakeConn{broken: make(chan struct{})}}
	func() {
		defer func() { _ = recover() }()
		_, _ = h.ExchangeGuarded(t.Context(), time.Now().Add(time.Second), 1, statement.Step{}, statement.Step{})
	}()
	if !h.isBroken() {
		t.Error("the connection is still open")
	}
}

// TestAnswerEndsFailure checks that a workspace without a connection may wait for a place after refused attempts to connect, once
// the endpoint answers others.
func TestAnswerEndsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &countingDialer{}
		p := newWorkspacePool(d, 1, 4)
		defer p.Close()
		held := p.mustAcquireFor(t, "a")
		p.mu.Lock()
		for range 3 {
			p.recordDialFailure("b", verdict.New(verdict.NotRun, verdict.Unreachable, "refused"), true)
		}
		p.mu.Unlock()
		if _, err := p.Acquire(t.Context(), demandOf("b")); verdict.From(err).Reason != verdict.Unreachable {
			t.Fatalf("error is %v, want unreachable", err)
		}
		time.Sleep(maxRedialPause)
		if _, err := held.Exchange(t.Context(), time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		go func() {
			time.Sleep(10 * time.Millisecond)
			p.Release(held, true, 0)
		}()
		p.Release(p.mustAcquireFor(t, "b"), true, 0)
	})
}
