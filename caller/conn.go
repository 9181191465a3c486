package caller

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/dispatch"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// openTimeout is how long to wait for a caller's first message.
	openTimeout = 5 * time.Second
	// lateRequestTimeout is how long to wait for a request that the caller sent before it learned that its session ends: a
	// few round trips to a caller.
	lateRequestTimeout = 500 * time.Millisecond
	// reconnectAfter is the suggested delay before a caller connects to another instance.
	reconnectAfter = 10 * time.Millisecond
)

// callerConn is a caller's connection and session.
type callerConn struct {
	server  *Server
	conn    net.Conn
	codec   Codec
	session *dispatch.Session
	// waiting is set while no request is in flight.
	waiting atomic.Bool
}

// wake interrupts the wait for the next request.
func (c *callerConn) wake() {
	if c.waiting.Load() {
		_ = c.codec.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *callerConn) serve() {
	// Also if a request is not answered, since running it panics.
	defer c.codec.Free()
	if !c.open() {
		return
	}
	defer c.session.Close()
	for {
		r, err := c.next()
		if err != nil {
			c.handleReadError(err)
			return
		}
		if err := c.answer(r); err != nil {
			c.logEnd(err)
			return
		}
	}
}

// open starts the session, or refuses the caller and returns false.
func (c *callerConn) open() bool {
	_ = c.codec.SetReadDeadline(time.Now().Add(openTimeout))
	parameters, err := c.codec.Open()
	if err != nil {
		c.logEnd(err)
		return false
	}
	_ = c.codec.SetReadDeadline(time.Time{})
	session, refusal := c.server.options.Dispatcher.Open(c.server.ctx, parameters)
	if refusal != nil {
		c.server.refusals.log(parameters.Database, refusal)
		_ = c.codec.Refuse(refusal)
		return false
	}
	c.session = session
	return c.codec.ConfirmOpen() == nil
}

// incoming is a request. If refusal is set, the request can't be run and is answered with it.
type incoming struct {
	request statement.Request
	refusal *verdict.Error
}

var (
	errShutdown  = errors.New("instance is leaving")
	errWithdrawn = errors.New("key of the session was withdrawn")
	errIdle      = errors.New("transaction was idle for too long")
)

// next reads the next request. It returns errShutdown if the session has to end first because the server is draining or
// closing, errWithdrawn if its key was withdrawn, and errIdle if an open transaction has been idle for the session's idle
// limit. While draining, the idle limit is not applied, since wake also makes the deadline pass.
func (c *callerConn) next() (incoming, error) {
	if c.shouldEnd() {
		return incoming{}, errShutdown
	}
	if c.isWithdrawn() {
		return incoming{}, errWithdrawn
	}
	idle, since := c.session.IdleLimit(), time.Now()
	if idle > 0 {
		_ = c.codec.SetReadDeadline(since.Add(idle))
	} else {
		_ = c.codec.SetReadDeadline(time.Time{})
	}
	c.waiting.Store(true)
	if c.shouldEnd() || c.isWithdrawn() {
		c.wake()
	}
	r, err := c.codec.Next()
	c.waiting.Store(false)
	var refusal *verdict.Error
	switch {
	case errors.As(err, &refusal):
		return incoming{request: r, refusal: refusal}, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && c.shouldEnd():
		return incoming{}, errShutdown
	case errors.Is(err, os.ErrDeadlineExceeded) && c.isWithdrawn():
		return incoming{}, errWithdrawn
	case errors.Is(err, os.ErrDeadlineExceeded) && c.session.State() == statement.Open && !c.server.reached(draining) && time.Since(since) >= idle:
		return incoming{}, errIdle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.next()
	default:
		return incoming{request: r}, err
	}
}

// shouldEnd reports whether the session has to end, given that no request is in flight.
func (c *callerConn) shouldEnd() bool {
	ending := c.server.reached(draining) || c.server.redirecting.Load()
	return c.server.reached(closing) || ending && c.session.State() == statement.Idle
}

// isWithdrawn reports whether the key of the session was withdrawn.
func (c *callerConn) isWithdrawn() bool { return c.session.Withdrawn() || c.session.CheckKey() != nil }

func (c *callerConn) answer(in incoming) error {
	if in.refusal != nil {
		return c.codec.Answer(statement.Refusal(in.refusal, c.session.State()), true)
	}
	return c.codec.Answer(c.session.Run(c.server.requestCtx, in.request), true)
}

// handleReadError ends a session for which next returned err. No request is in flight.
func (c *callerConn) handleReadError(err error) {
	switch {
	case errors.Is(err, errShutdown):
		c.endSession(verdict.New(verdict.NotRun, verdict.Leaving, "instance is leaving; reconnect to another instance").WithRetryAfter(reconnectAfter))
	case errors.Is(err, errWithdrawn):
		if !c.session.Withdrawn() {
			c.session.Withdraw()
		}
		c.endSession(verdict.New(verdict.NotRun, verdict.Unauthorized, "%s", err))
	case errors.Is(err, errIdle):
		c.session.Abort(err.Error())
		c.endSession(verdict.New(verdict.NotRun, verdict.Aborted, "%s", err))
	default:
		c.logEnd(err)
	}
}

// endSession closes the session and tells the caller why. A request that the caller had already sent takes the refusal
// as its result and is then sent the transaction state, so that it is answered too.
func (c *callerConn) endSession(e *verdict.Error) {
	c.session.Close()
	if c.codec.Refuse(e) != nil {
		return
	}
	_ = c.codec.SetReadDeadline(time.Now().Add(lateRequestTimeout))
	if _, err := c.codec.Next(); err == nil {
		_ = c.codec.Answer(statement.Answer{}, false)
	}
}

func (c *callerConn) logEnd(err error) {
	if errors.Is(err, io.EOF) || c.server.ctx.Err() != nil {
		return
	}
	c.server.options.Logger.Log(event.CallerDisconnected, log.Fields{"reason": err.Error()})
}
