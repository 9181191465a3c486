package simulation

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/connection"
	"siskincove/statement"
	"siskincove/verdict"
)

var (
	errAway     = errors.New("endpoint is away")
	errDeadline = errors.New("endpoint did not answer in time")
)

// Endpoint is a modelled member of a group: it has slots, lets some statements wait for one and refuses the rest.
type Endpoint struct {
	Name string
	// Slots run statements, Queue wait at most, and a new connection takes Handshake of a slot.
	Slots      int
	QueueLimit int
	Handshake  time.Duration
	// Way is the time to the endpoint and back.
	RoundTrip time.Duration

	group *Group
	slots chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	waiting int
	// slow multiplies the work, and away endpoints refuse connections.
	slow float64
	away bool
	// gone is closed when the endpoint goes away.
	gone chan struct{}
	// Arrivals and Busy count statements that came and those that found no place.
	Arrivals int
	Rejected int
}

func (e *Endpoint) start(g *Group, seed uint64) {
	e.group, e.slots, e.slow, e.gone = g, make(chan struct{}, e.Slots), 1, make(chan struct{})
	e.random = rand.New(rand.NewPCG(seed, 7))
}

// SetSlow multiplies the time of the endpoint's work.
func (e *Endpoint) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetAway ends the endpoint's connections and refuses new ones, or takes them again.
func (e *Endpoint) SetDown(away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case away && !e.away:
		close(e.gone)
	case !away && e.away:
		e.gone = make(chan struct{})
	}
	e.away = away
}

func (e *Endpoint) state() (gone chan struct{}, away bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone, e.away
}

const (
	// workSpread, workTail and workTailFactor shape the times of work: lognormal, with a tail of a few longer ones.
	workSpread     = 0.7
	workTail       = 0.01
	workTailFactor = 5
)

// work returns a time of work around a mean.
func (e *Endpoint) work(mean time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := math.Exp(workSpread*e.random.NormFloat64()-workSpread*workSpread/2) * e.slow
	if e.random.Float64() < workTail {
		factor *= workTailFactor
	}
	return time.Duration(factor * float64(mean))
}

// enter counts an arrival and reports whether it may wait.
func (e *Endpoint) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Arrivals++
	if e.waiting >= e.QueueLimit {
		e.Rejected++
		return false
	}
	e.waiting++
	return true
}

// occupy waits for a slot and holds it for a time; it reports what ended the wait early.
func (e *Endpoint) occupy(ctx context.Context, deadline time.Time, gone chan struct{}, mean time.Duration) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	left := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting--
	}
	select {
	case e.slots <- struct{}{}:
		left()
	case <-timer.C:
		left()
		return errDeadline
	case <-ctx.Done():
		left()
		return ctx.Err()
	case <-gone:
		left()
		return errAway
	}
	// The work goes on to its end, whether anyone still waits for it or not.
	done := make(chan struct{})
	took := e.work(mean)
	time.AfterFunc(took, func() {
		<-e.slots
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errDeadline
	case <-ctx.Done():
		return ctx.Err()
	case <-gone:
		return errAway
	}
}

// Dialer connects to the endpoints of a group.
type Dialer struct{ Group *Group }

// Dial makes a connection, which takes a slot for a while.
func (d Dialer) Dial(ctx context.Context, target config.Endpoint) (connection.Conn, error) {
	for _, e := range d.Group.Endpoints {
		if e.Name != target.Name {
			continue
		}
		gone, away := e.state()
		if away {
			time.Sleep(e.RoundTrip)
			return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "connection refused")
		}
		time.Sleep(2 * e.RoundTrip)
		until, _ := ctx.Deadline()
		e.enter()
		if err := e.occupy(ctx, until, gone, e.Handshake); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no connection").WithCause(err)
		}
		return &conn{endpoint: e, gone: gone, closed: make(chan struct{})}, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no endpoint %s", target.Name)
}

// DialOver is not modelled.
func (d Dialer) DialOver(context.Context, config.Endpoint, net.Conn) (connection.Conn, error) {
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no detours")
}

// conn is a connection to a modelled endpoint.
type conn struct {
	endpoint *Endpoint
	gone     chan struct{}
	closed   chan struct{}
	once     sync.Once
	state    statement.State
	wrote    bool
}

// RoundTrip returns the time to the endpoint and back.
func (c *conn) RoundTrip() time.Duration { return c.endpoint.RoundTrip }

// Broken is closed once the endpoint has gone away or the connection was closed.
func (c *conn) Broken() <-chan struct{} {
	select {
	case <-c.gone:
		return c.gone
	default:
		return c.closed
	}
}

// Close ends the connection.
func (c *conn) Close() { c.once.Do(func() { close(c.closed) }) }

// Exchange runs the steps one after the other.
func (c *conn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	select {
	case <-c.Broken():
		return nil, errors.Mark(errAway, connection.ErrUnsent)
	default:
	}
	time.Sleep(c.endpoint.RoundTrip)
	answers := make([]statement.Answer, 0, len(steps))
	for _, s := range steps {
		a, err := c.step(ctx, deadline, s)
		if err != nil {
			c.Close()
			return answers, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *conn) step(ctx context.Context, deadline time.Time, s statement.Step) (statement.Answer, error) {
	e := c.endpoint
	leads := e.group.Primary() == e
	position := e.group.applied(e)
	refuse := func(reason verdict.Reason) (statement.Answer, error) {
		return statement.Answer{Failure: verdict.New(verdict.NotRun, reason, "refused"), State: c.state, Position: position}, nil
	}
	switch s.Kind {
	case statement.Begin, statement.BeginRead:
		if s.Kind == statement.Begin && !leads {
			return refuse(verdict.NotPrimary)
		}
		c.state, c.wrote = statement.Open, false
		return statement.Answer{State: c.state, Position: position}, nil
	case statement.Rollback:
		c.state = statement.Idle
		return statement.Answer{State: c.state, Position: position}, nil
	case statement.Read, statement.Write, statement.Commit:
	default:
		return statement.Answer{State: c.state, Position: position}, nil
	}
	switch {
	case s.Writes && !leads:
		return refuse(verdict.NotPrimary)
	case !position.Covers(s.After):
		return refuse(verdict.Stale)
	case !e.enter():
		return refuse(verdict.Overload)
	}
	// The text of a modelled statement is its mean work in ms.
	mean, _ := strconv.Atoi(s.Text)
	if err := e.occupy(ctx, deadline, c.gone, time.Duration(mean)*time.Millisecond); err != nil {
		return statement.Answer{}, err
	}
	c.wrote = c.wrote || s.Writes
	if s.Kind == statement.Commit {
		c.state = statement.Idle
	}
	if c.wrote && c.state == statement.Idle {
		e.group.commit()
		c.wrote = false
	}
	return statement.Answer{Receipt: s.ID, State: c.state, Position: e.group.applied(e)}, nil
}
