package connection

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

// fixedEndpoint is an endpoint that gives every exchange the same answer.
type fixedEndpoint struct {
	answer statement.Answer
	err    error
}

func (f *fixedEndpoint) Dial(context.Context, Target, time.Duration) (Conn, error) {
	return &fixedConn{fakeConn: fakeConn{broken: make(chan struct{})}, endpoint: f}, nil
}

func (f *fixedEndpoint) DialOver(ctx context.Context, e Target, _ net.Conn) (Conn, error) {
	return f.Dial(ctx, e, 0)
}

type fixedConn struct {
	fakeConn
	endpoint *fixedEndpoint
}

func (c *fixedConn) Exchange(context.Context, time.Time, ...statement.Step) ([]statement.Answer, error) {
	if c.endpoint.err != nil {
		return nil, c.endpoint.err
	}
	return []statement.Answer{c.endpoint.answer}, nil
}

// TestWindow guards against overloading an endpoint that many instances share. After the endpoint had no free slot for
// a statement, or did not answer in time, the pool must use fewer connections at once.
func TestWindow(t *testing.T) {
	busy := statement.Refusal(verdict.New(verdict.NotRun, verdict.Overload, "no free slot"), statement.Idle)
	behind := statement.Refusal(verdict.New(verdict.NotRun, verdict.Stale, "behind"), statement.Idle)
	expired, ahead := -time.Millisecond, time.Second
	tests := map[string]struct {
		endpoint *fixedEndpoint
		borrows  bool
		deadline time.Duration
		want     int
	}{
		"no free slot":                        {endpoint: &fixedEndpoint{answer: busy}, deadline: ahead, want: 2},
		"deadline exceeded":                   {endpoint: &fixedEndpoint{err: errors.New("no answer")}, deadline: expired, want: 2},
		"connection lost before the deadline": {endpoint: &fixedEndpoint{err: errors.New("reset")}, deadline: ahead, want: 4},
		"other refusal":                       {endpoint: &fixedEndpoint{answer: behind}, deadline: ahead, want: 4},
		"refused by the lender":               {endpoint: &fixedEndpoint{answer: busy}, borrows: true, deadline: ahead, want: 4},
		"served":                              {endpoint: &fixedEndpoint{answer: statement.Answer{Receipt: "r"}}, deadline: ahead, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Options{Dialer: test.endpoint, Clock: clock.System{}, Logger: event.Discard(), Limit: 4, Borrows: test.borrows}).withFullWindow()
			h := p.mustAcquire(t, nil)
			_, _ = h.Exchange(context.Background(), time.Now().Add(test.deadline), statement.ProxyStep(statement.Read))
			p.Release(h, true, time.Millisecond)
			if got := p.countAcquirable(); got != test.want {
				t.Errorf("%d connections may be used at once, want %d", got, test.want)
			}
		})
	}
}

// TestSlowStart guards against overload when many instances start at once. Each new connection takes a slot of the
// endpoint, so a pool must start with one connection and not dial more than the endpoint can handle.
func TestSlowStart(t *testing.T) {
	p := New(Options{Dialer: &fakeDialer{}, Clock: clock.System{}, Logger: event.Discard(), Limit: 8})
	if got := p.countAcquirable(); got != 1 {
		t.Errorf("%d connections may be used at once after the start, want 1", got)
	}
}

// TestInFlight checks that the statements in flight are bounded apart from the connections, of which those that are idle in a
// transaction are not in flight.
func TestInFlight(t *testing.T) {
	served := &fixedEndpoint{answer: statement.Answer{Receipt: "r", State: statement.Open}}
	p := New(Options{Dialer: served, Clock: clock.System{}, Logger: event.Discard(), Limit: 8, InFlight: 2}).withFullWindow()
	for range 4 {
		h := p.mustAcquire(t, nil)
		_, _ = h.Exchange(context.Background(), time.Now().Add(time.Second), statement.ProxyStep(statement.Read))
		h.MarkIdleInTransaction()
	}
	if got := p.countAcquirable(); got != 2 {
		t.Errorf("%d statements may be in flight beside four idle transactions, want 2", got)
	}
	p.Resize(8, 3)
	if got := p.countAcquirable(); got > 1 {
		t.Errorf("%d more statements may be in flight after the bound rose by one, want at most 1", got)
	}
}

// countAcquirable acquires connections until the pool refuses and returns how many it got.
func (p *Pool) countAcquirable() int {
	for n := 0; ; n++ {
		_, err := p.Acquire(context.Background(), Demand{Class: limit.Class{Name: "main"}, Deadline: time.Now().Add(3 * minDialTime)})
		if err != nil {
			return n
		}
	}
}

// TestIdleInTransaction covers callers that pause inside transactions. Their connections take no slot at the endpoint,
// so others must be able to use it, and the caller's next statement must not need another connection.
func TestIdleInTransaction(t *testing.T) {
	busy := statement.Refusal(verdict.New(verdict.NotRun, verdict.Overload, "no free slot"), statement.Idle)
	f := &fixedEndpoint{answer: busy}
	p := New(Options{Dialer: f, Clock: clock.System{}, Logger: event.Discard(), Limit: 4}).withFullWindow()
	h := p.mustAcquire(t, nil)
	exchange := func() {
		_, _ = h.Exchange(context.Background(), time.Now().Add(time.Second), statement.ProxyStep(statement.Read))
	}
	exchange()
	f.answer = statement.Answer{State: statement.Open}
	exchange()
	h.MarkIdleInTransaction()
	if got := p.countAcquirable(); got != 2 {
		t.Errorf("%d other connections may be used while one is idle in a transaction, want 2", got)
	}
	exchange()
	if got := p.countAcquirable(); got != 0 {
		t.Errorf("%d other connections may be used while it runs a statement, want 0", got)
	}
}

// TestIdleInTransactionIsNotWork covers callers that pause inside transactions. The pauses must not count as service
// time, or queued requests would be refused because of them.
func TestIdleInTransactionIsNotWork(t *testing.T) {
	f := &fixedEndpoint{answer: statement.Answer{State: statement.Open}}
	manual := clock.NewManual(time.Unix(1_000_000, 0))
	p := New(Options{Dialer: f, Clock: manual, Logger: event.Discard(), Limit: 1})
	const work, pause = 10 * time.Millisecond, time.Minute
	for range 100 {
		h, err := p.Acquire(context.Background(), Demand{Deadline: manual.Now().Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		manual.Advance(work)
		h.MarkIdleInTransaction()
		manual.Advance(pause)
		p.Release(h, true, work+pause)
	}
	if got := p.queue.ServiceTime(); got > 2*work {
		t.Errorf("service time %s, want about %s", got, work)
	}
}
