package simulation

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/connection"
	"siskincove/statement"
	"siskincove/verdict"
)

var (
	errDown     = errors.New("endpoint is down")
	errDeadline = errors.New("endpoint did not answer in time")
)

// Endpoint is a modelled endpoint of a group. It runs a limited number of statements, queues some more and rejects the rest.
type Endpoint struct {
	Name string
	// Slots is the number of statements that run at once, QueueLimit the number that may wait, and Handshake the mean time for
	// which a new connection occupies a slot.
	Slots      int
	QueueLimit int
	Handshake  time.Duration
	// RoundTrip is the network round-trip time.
	RoundTrip time.Duration

	group *Group
	slots chan struct{}

	mu      sync.Mutex
	random  *rand.Rand
	waiting int
	// slow multiplies service times. An endpoint that is down refuses connections; one that is silent answers nothing.
	slow   float64
	down   bool
	silent bool
	// downSignal is closed when the endpoint goes down.
	downSignal chan struct{}
	// Arrivals counts the statements and handshakes that arrived, and Rejected those of them that found the queue full. A
	// handshake is counted as rejected but waits for a slot all the same.
	Arrivals int
	Rejected int
	// Opened counts the connections opened, Open those that are open or being opened, and MostOpen is the greatest number of them.
	Opened, Open, MostOpen int
}

func (e *Endpoint) start(g *Group, seed uint64) {
	e.group, e.slots, e.slow, e.downSignal = g, make(chan struct{}, e.Slots), 1, make(chan struct{})
	e.random = rand.New(rand.NewPCG(seed, 7))
}

// SetSlow sets the factor by which the endpoint's service times are multiplied.
func (e *Endpoint) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// SetDown closes the endpoint's connections and refuses new ones, or accepts them again.
func (e *Endpoint) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case down && !e.down:
		close(e.downSignal)
	case !down && e.down:
		e.downSignal = make(chan struct{})
	}
	e.down = down
}

// SetSilent stops the endpoint from answering, as if it were cut off from the network, or ends that.
func (e *Endpoint) SetSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

func (e *Endpoint) isSilent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silent
}

// downState returns the signal that is closed when the endpoint goes down, and whether it is down.
func (e *Endpoint) downState() (down chan struct{}, isDown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.downSignal, e.down
}

const (
	// Service times are lognormal with parameter workSigma; a share of workTailShare takes workTailFactor times as long.
	workSigma      = 0.7
	workTailShare  = 0.01
	workTailFactor = 5
)

// sampleWork draws a service time with the given mean.
func (e *Endpoint) sampleWork(mean time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := math.Exp(workSigma*e.random.NormFloat64()-workSigma*workSigma/2) * e.slow
	if e.random.Float64() < workTailShare {
		factor *= workTailFactor
	}
	return time.Duration(factor * float64(mean))
}

// enqueue counts an arrival, puts it into the queue if there is room and reports whether there was.
func (e *Endpoint) enqueue() bool {
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

// execute waits for a slot and occupies it for a service time with the given mean. It returns early with an error if the
// deadline passes, ctx ends or the endpoint goes down.
func (e *Endpoint) execute(ctx context.Context, deadline time.Time, down chan struct{}, mean time.Duration) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	dequeue := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting--
	}
	select {
	case e.slots <- struct{}{}:
		dequeue()
	case <-timer.C:
		dequeue()
		return errDeadline
	case <-ctx.Done():
		dequeue()
		return ctx.Err()
	case <-down:
		dequeue()
		return errDown
	}
	// The slot stays occupied for the whole service time, even if the caller stops waiting.
	done := make(chan struct{})
	took := e.sampleWork(mean)
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
	case <-down:
		return errDown
	}
}

// countOpen counts connections that are opened or closed.
func (e *Endpoint) countOpen(delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Opened += max(delta, 0)
	e.Open += delta
	e.MostOpen = max(e.MostOpen, e.Open)
}

// Dialer connects to the endpoints of a group.
type Dialer struct{ Group *Group }

// Dial opens a connection; the handshake occupies a slot.
func (d Dialer) Dial(ctx context.Context, target connection.Target, connectTimeout time.Duration) (connection.Conn, error) {
	for _, e := range d.Group.Endpoints {
		if e.Name != target.Endpoint.Name {
			continue
		}
		if e.isSilent() {
			return nil, awaitNothing(ctx, connectTimeout)
		}
		down, isDown := e.downState()
		if isDown {
			time.Sleep(e.RoundTrip)
			return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "connection refused")
		}
		e.countOpen(1)
		time.Sleep(2 * e.RoundTrip)
		deadline, _ := ctx.Deadline()
		e.enqueue()
		if err := e.execute(ctx, deadline, down, e.Handshake); err != nil {
			e.countOpen(-1)
			return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "connecting failed").WithCause(err)
		}
		return &conn{endpoint: e, endpointDown: down, closed: make(chan struct{})}, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "unknown endpoint %s", target.Endpoint.Name)
}

// awaitNothing waits for a connection to a silent endpoint until it times out.
func awaitNothing(ctx context.Context, connectTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	<-ctx.Done()
	return verdict.New(verdict.NotRun, verdict.Unreachable, "no connection to the endpoint").WithCause(&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded})
}

// DialOver always fails, since connections over other instances are not modelled.
func (d Dialer) DialOver(context.Context, connection.Target, net.Conn) (connection.Conn, error) {
	return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "dialing over another instance is not modelled")
}

// conn is a connection to a modelled endpoint.
type conn struct {
	endpoint     *Endpoint
	endpointDown chan struct{}
	closed       chan struct{}
	once         sync.Once
	state        statement.State
	// wrote tells whether the transaction, or the statement outside of one, has written.
	wrote bool
}

// RoundTrip returns the network round-trip time.
func (c *conn) RoundTrip() time.Duration { return c.endpoint.RoundTrip }

// Broken returns a closed channel if the endpoint has gone down since the connection was opened, and otherwise a channel that
// is closed when the connection is closed.
func (c *conn) Broken() <-chan struct{} {
	select {
	case <-c.endpointDown:
		return c.endpointDown
	default:
		return c.closed
	}
}

// Close ends the connection.
func (c *conn) Close() {
	c.once.Do(func() {
		close(c.closed)
		c.endpoint.countOpen(-1)
	})
}

// Exchange runs the steps in order.
func (c *conn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	select {
	case <-c.Broken():
		return nil, errors.Mark(errDown, connection.ErrUnsent)
	default:
	}
	time.Sleep(c.endpoint.RoundTrip)
	if c.endpoint.isSilent() {
		time.Sleep(time.Until(deadline))
		c.Close()
		return nil, errDeadline
	}
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
	isPrimary := e.group.Primary() == e
	position := e.group.applied(e)
	refuse := func(reason verdict.Reason) (statement.Answer, error) {
		return statement.Answer{Failure: verdict.New(verdict.NotRun, reason, "refused"), State: c.state, Position: position}, nil
	}
	switch s.Kind {
	case statement.Begin, statement.BeginRead:
		if s.Kind == statement.Begin && !isPrimary {
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
	case s.Writes && !isPrimary:
		return refuse(verdict.NotPrimary)
	case !position.Covers(s.After):
		return refuse(verdict.Stale)
	case !e.enqueue():
		return refuse(verdict.Overload)
	}
	// The text of a modelled statement is its mean service time in milliseconds.
	mean, _ := strconv.Atoi(s.Text)
	if err := e.execute(ctx, deadline, c.endpointDown, time.Duration(mean)*time.Millisecond); err != nil {
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
