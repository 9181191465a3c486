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
	errDeadline        = errors.New("holder did not answer before the deadline")
	errClosed          = errors.New("borrowed connection closed")
	errRetired         = errors.New("holder no longer lends connections")
	errUnexpectedFrame = errors.New("unexpected frame from holder: not results")
	errEndpointLost    = errors.New("holder lost its connection to the endpoint")
)

// Conn is a connection to an endpoint through another instance, the holder. The holder assigns one of its own connections
// to each exchange or transaction. A Conn must not be used by more than one goroutine at a time.
type Conn struct {
	stream  peer.Stream
	clock   clock.Service
	results chan *wire.Results
	broken  chan struct{}
	class   limit.Class

	mu  sync.Mutex
	err error
	// busy is set while an exchange is in progress or a transaction is open.
	busy bool
	// retired is set once the holder has announced that it no longer lends this connection.
	retired bool
}

// newConn returns a connection over a stream on which the loan was requested. The reader goroutine ends with the stream.
func newConn(stream peer.Stream, clk clock.Service) *Conn {
	c := &Conn{stream: stream, clock: clk, results: make(chan *wire.Results, 1), broken: make(chan struct{})}
	go c.readLoop()
	return c
}

// RoundTrip returns 0: the round-trip time of a borrowed connection is not measured.
func (c *Conn) RoundTrip() time.Duration { return 0 }

// Broken returns a channel that is closed once the connection is no longer usable.
func (c *Conn) Broken() <-chan struct{} { return c.broken }

// Close closes the connection; the holder then rolls back an open transaction.
func (c *Conn) Close() { c.fail(errClosed) }

// SetClass sets the admission class in which later exchanges wait for one of the holder's connections.
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

// readLoop passes results to Exchange until the stream ends.
func (c *Conn) readLoop() {
	for {
		frame, err := c.stream.Receive()
		if err != nil {
			c.fail(errors.Wrap(err, "loan"))
			return
		}
		r := frame.GetResults()
		if r == nil {
			c.fail(errUnexpectedFrame)
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

// retire closes the connection as soon as it has no exchange in progress and no open transaction.
func (c *Conn) retire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	if !c.busy {
		c.failLocked(errRetired)
	}
}

// beginExchange marks the connection as busy. If the connection has failed, the error is marked with connection.ErrUnsent.
func (c *Conn) beginExchange() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return errors.Mark(c.err, connection.ErrUnsent)
	}
	c.busy = true
	return nil
}

// endExchange marks the connection as free unless it has an open transaction, and closes it if it is retired and free.
func (c *Conn) endExchange(state statement.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = state != statement.Idle
	if c.retired && !c.busy {
		c.failLocked(errRetired)
	}
}

// Exchange sends the steps to the holder and returns their answers in order. After an error the connection is closed.
func (c *Conn) Exchange(ctx context.Context, deadline time.Time, steps ...statement.Step) ([]statement.Answer, error) {
	if err := c.beginExchange(); err != nil {
		return nil, err
	}
	remaining := deadline.Sub(c.clock.Now())
	stop := context.AfterFunc(ctx, func() { c.fail(ctx.Err()) })
	defer stop()
	err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Steps{Steps: toSteps(steps, remaining, c.class)}})
	if err != nil {
		c.fail(errors.Wrap(err, "loan"))
		return nil, c.lastError()
	}
	r := c.await(remaining)
	if r == nil {
		return nil, c.lastError()
	}
	answers := fromResults(r)
	if r.GetBroken() || len(answers) != len(steps) {
		c.fail(errEndpointLost)
		return answers, errEndpointLost
	}
	c.endExchange(answers[len(answers)-1].State)
	return answers, nil
}

// await returns the results, or nil if the connection failed or the remaining time passed before they arrived.
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

func (c *Conn) lastError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}
