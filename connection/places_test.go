package connection

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

// full is an endpoint that gives every exchange the same answer.
type full struct {
	answer statement.Answer
	err    error
}

func (f *full) Dial(context.Context, config.Endpoint) (Conn, error) {
	return &fullConn{conn: conn{broken: make(chan struct{})}, of: f}, nil
}

func (f *full) Over(ctx context.Context, e config.Endpoint, _ net.Conn) (Conn, error) {
	return f.Dial(ctx, e)
}

type fullConn struct {
	conn
	of *full
}

func (c *fullConn) Exchange(context.Context, time.Time, ...statement.Step) ([]statement.Answer, error) {
	if c.of.err != nil {
		return nil, c.of.err
	}
	return []statement.Answer{c.of.answer}, nil
}

// TestPlaces answers the pattern of an endpoint that many instances share and none can count: after it refused a statement
// for want of a place, or did not get to one in time, fewer connections are used at once.
func TestPlaces(t *testing.T) {
	busy := statement.Refusal(verdict.New(verdict.NotRun, verdict.Overload, "no place"), statement.Idle)
	behind := statement.Refusal(verdict.New(verdict.NotRun, verdict.Stale, "behind"), statement.Idle)
	past, soon := -time.Millisecond, time.Second
	tests := map[string]struct {
		endpoint *full
		borrows  bool
		deadline time.Duration
		want     int
	}{
		"no place":                 {endpoint: &full{answer: busy}, deadline: soon, want: 2},
		"not in time":              {endpoint: &full{err: errors.New("no answer")}, deadline: past, want: 2},
		"lost before the deadline": {endpoint: &full{err: errors.New("reset")}, deadline: soon, want: 4},
		"other refusal":            {endpoint: &full{answer: behind}, deadline: soon, want: 4},
		"refused by who lends it":  {endpoint: &full{answer: busy}, borrows: true, deadline: soon, want: 4},
		"served":                   {endpoint: &full{answer: statement.Answer{Receipt: "r"}}, deadline: soon, want: 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(Options{Dialer: test.endpoint, Clock: clock.System{}, Logger: event.Discard(), Limit: 4, Borrows: test.borrows}).grown()
			h := p.must(t, nil)
			_, _ = h.Exchange(context.Background(), time.Now().Add(test.deadline), statement.ProxyStep(statement.Read))
			p.Release(h, true, time.Millisecond)
			if got := p.usable(); got != test.want {
				t.Errorf("%d connections may be used at once, want %d", got, test.want)
			}
		})
	}
}

// TestSlowStart answers the pattern of many instances that start at once: each new connection takes a slot of the endpoint,
// so a pool begins with one and does not make more than the endpoint gets to.
func TestSlowStart(t *testing.T) {
	p := New(Options{Dialer: &dialer{}, Clock: clock.System{}, Logger: event.Discard(), Limit: 8})
	if got := p.usable(); got != 1 {
		t.Errorf("%d connections may be used at once in the beginning", got)
	}
}

// usable takes connections until none is given any more and returns how many it got.
func (p *Pool) usable() int {
	for n := 0; ; n++ {
		_, err := p.Acquire(context.Background(), limit.Class{Name: "main"}, time.Now().Add(3*dialLeast), nil)
		if err != nil {
			return n
		}
	}
}

// TestRest answers the pattern of callers that think inside their transactions: their connections keep nobody else waiting
// for a place at the endpoint, and a further statement of theirs needs no new one.
func TestRest(t *testing.T) {
	busy := statement.Refusal(verdict.New(verdict.NotRun, verdict.Overload, "no place"), statement.Idle)
	f := &full{answer: busy}
	p := New(Options{Dialer: f, Clock: clock.System{}, Logger: event.Discard(), Limit: 4}).grown()
	h := p.must(t, nil)
	exchange := func() {
		_, _ = h.Exchange(context.Background(), time.Now().Add(time.Second), statement.ProxyStep(statement.Read))
	}
	exchange()
	f.answer = statement.Answer{State: statement.Open}
	exchange()
	h.Rest()
	if got := p.usable(); got != 2 {
		t.Errorf("%d others may be used beside a connection that rests, want 2", got)
	}
	exchange()
	if got := p.usable(); got != 0 {
		t.Errorf("%d more may be used once it is at work", got)
	}
}

// TestRestIsNoWork answers the pattern of callers that think inside their transactions: what waits in the queue is not
// refused for the time that they take.
func TestRestIsNoWork(t *testing.T) {
	f := &full{answer: statement.Answer{State: statement.Open}}
	now := clock.NewManual(time.Unix(1_000_000, 0))
	p := New(Options{Dialer: f, Clock: now, Logger: event.Discard(), Limit: 1})
	const work, thinking = 10 * time.Millisecond, time.Minute
	for range 100 {
		h, err := p.Acquire(context.Background(), limit.Class{}, now.Now().Add(time.Second), nil)
		if err != nil {
			t.Fatal(err)
		}
		now.Advance(work)
		h.Rest()
		now.Advance(thinking)
		p.Release(h, true, work+thinking)
	}
	if got := p.queue.ServiceTime(); got > 2*work {
		t.Errorf("a statement is taken to need %s, want about %s", got, work)
	}
}
