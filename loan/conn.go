package loan

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
)

var (
	errDeadline = errors.New("holder did not answer in time")
	errClosed   = errors.New("loan was closed")
	errRetired  = errors.New("holder lends no more")
	errFrame    = errors.New("holder sent something else than results")
	errBroken   = errors.New("holder lost the endpoint's connection")
)

// Conn is a connection to an endpoint by way of its holder, which gives it one of its own for each exchange or
// transaction. Like any other it is used by one goroutine at a time.
type Conn struct {
	stream  peer.Stream
	clock   clock.Service
	results chan *wire.Results
	broken  chan struct{}
	class   limit.Class

	mu  sync.Mutex
	err error
	// busy is set while an exchange is under way or a transaction is open.
	busy    bool
	retired bool
}

// newConn returns a connection over a stream on which the loan was asked for; its reader ends with the stream.
func newConn(stream peer.Stream, service clock.Service) *Conn {
	c := &Conn{stream: stream, clock: service, results: make(chan *wire.Results, 1), broken: make(chan struct{})}
	go c.read()
	return c
}

// RoundTrip is not known.
func (c *Conn) RoundTrip() time.Duration { return 0 }

// Broken is closed once the connection can't be used again.
func (c *Conn) Broken() <-chan struct{} { return c.broken }

// Close ends the connection, at which the holder rolls back its transaction.
func (c *Conn) Close() { c.fail(errClosed) }

// SetClass lets the exchanges that follow wait for a connection of the holder's in a class.
func (c *Conn) SetClass(class limit.Class) { c.class = class }

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failLocked(err)
}

func (c *Conn) failLocked(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	close(c.broken)
	_ = c.stream.Close()
}

// read hands on results until the stream ends.
func (c *Conn) read() {
	for {
		frame, err := c.stream.Receive()
		if err != nil {
			c.fail(errors.Wrap(err, "loan"))
			return
		}
		r := frame.GetResults()
		if r == nil {
			c.fail(errFrame)
			return
		}
		if r.GetRetired() {
			c.retire()
		}
		if len(r.GetResults()) == 0 && !r.GetBroken() {
			continue
		}
		select {
		case c.results <- r:
		case <-c.broken:
			return
		}
	}
}

// retire ends the connection as soon as no transaction is open on it.
func (c *Conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if !c.busy {
		c.failLocked(errRetired)
	}
}

// begin marks the connection as busy, unless it can't be used.
func (c *Conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return errors.Mark(c.err, connection.ErrUnsent)
	}
	c.busy = true
	return nil
}

// end marks the connection as free unless a transaction is open on it.
func (c *Conn) end(state statement.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = state != statement.Idle
	if c.retired && !c.busy {
		c.failLocked(errRetired)
	}
}

// Exchange sends the steps to the holder and returns their answers in order.
func (c *Conn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	if err := c.begin(); err != nil {
		return nil, err
	}
	remaining := deadline.Sub(c.clock.Now())
	stop := context.AfterFunc(ctx, func() { c.fail(ctx.Err()) })
	defer stop()
	err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Steps{Steps: toSteps(steps, remaining, c.class)}})
	if err != nil {
		c.fail(errors.Wrap(err, "loan"))
		return nil, c.failure()
	}
	r := c.await(remaining)
	if r == nil {
		return nil, c.failure()
	}
	answers := fromResults(r)
	if r.GetBroken() || len(answers) != len(steps) {
		c.fail(errBroken)
		return answers, errBroken
	}
	c.end(answers[len(answers)-1].State)
	return answers, nil
}

// await returns the results, nil if the connection ended before they came.
func (c *Conn) await(remaining time.Duration) *wire.Results {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case r := <-c.results:
		return r
	case <-timer.C:
		c.fail(errDeadline)
	case <-c.broken:
	}
	select {
	case r := <-c.results:
		return r
	default:
		return nil
	}
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
