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
	// openTimeout bounds the wait for a caller's first message.
	openTimeout = 5 * time.Second
	// farewellTimeout is how long a session that was told to end is still read from, a few round trips to a caller.
	farewellTimeout = 500 * time.Millisecond
	// comeBackAfter is when a caller should connect again, to another instance.
	comeBackAfter = 10 * time.Millisecond
)

// conversation is one caller's connection.
type conversation struct {
	server  *Server
	conn    net.Conn
	codec   Codec
	session *dispatch.Session
	// waiting is set while no request is outstanding.
	waiting atomic.Bool
}

// wake interrupts the wait for the next request.
func (c *conversation) wake() {
	if c.waiting.Load() {
		_ = c.codec.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *conversation) serve() {
	if !c.open() {
		return
	}
	defer c.session.Close()
	for {
		r, err := c.next()
		if err != nil {
			c.end(err)
			return
		}
		if err := c.answer(r); err != nil {
			c.ended(err)
			return
		}
	}
}

// open starts the session or says why there is none.
func (c *conversation) open() bool {
	_ = c.codec.SetReadDeadline(time.Now().Add(openTimeout))
	opening, err := c.codec.Open()
	if err != nil {
		c.ended(err)
		return false
	}
	_ = c.codec.SetReadDeadline(time.Time{})
	session, refused := c.server.options.Dispatcher.Open(c.server.ctx, opening.Database)
	if refused != nil {
		c.server.options.Logger.Log(event.CallerRefused, log.Fields{
			"database": opening.Database, "user": opening.User, "reason": string(refused.Reason), "cause": refused.Message,
		})
		_ = c.codec.Refuse(refused)
		return false
	}
	c.session = session
	return c.codec.Greet() == nil
}

// incoming is a request, or the reason why one can't be run.
type incoming struct {
	request statement.Request
	refused *verdict.Error
}

var (
	errLeaving = errors.New("instance is leaving")
	errIdle    = errors.New("transaction was idle for too long")
)

// next reads the next request. A wait outside a transaction ends when the instance leaves, one inside a transaction
// when its bound passes.
func (c *conversation) next() (incoming, error) {
	if c.leaves() {
		return incoming{}, errLeaving
	}
	if idle := c.session.IdleLimit(); idle > 0 {
		_ = c.codec.SetReadDeadline(time.Now().Add(idle))
	} else {
		_ = c.codec.SetReadDeadline(time.Time{})
	}
	c.waiting.Store(true)
	if c.leaves() {
		c.wake()
	}
	r, err := c.codec.Next()
	c.waiting.Store(false)
	var refused *verdict.Error
	switch {
	case errors.As(err, &refused):
		return incoming{request: r, refused: refused}, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && c.leaves():
		return incoming{}, errLeaving
	case errors.Is(err, os.ErrDeadlineExceeded) && c.session.State() == statement.Open && !c.server.at(leaving):
		return incoming{}, errIdle
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.next()
	default:
		return incoming{request: r}, err
	}
}

// leaves reports whether the session has to end now that no request is outstanding.
func (c *conversation) leaves() bool {
	return c.server.at(closing) || c.server.at(leaving) && c.session.State() == statement.Idle
}

func (c *conversation) answer(in incoming) error {
	if in.refused != nil {
		return c.codec.Answer(statement.Refusal(in.refused, c.session.State()), true)
	}
	return c.codec.Answer(c.session.Run(c.server.requests, in.request), true)
}

// end ends a session whose caller waits for nothing.
func (c *conversation) end(err error) {
	switch {
	case errors.Is(err, errLeaving):
		c.farewell(verdict.New(verdict.NotRun, verdict.Leaving, "instance is leaving; connect again").WithAfter(comeBackAfter))
	case errors.Is(err, errIdle):
		c.session.Abort(err.Error())
		c.farewell(verdict.New(verdict.NotRun, verdict.Aborted, "%s", err))
	default:
		c.ended(err)
	}
}

// farewell tells the caller that the session ends. A request that was on its way then finds this refusal as its
// outcome and gets its state, so it is answered too.
func (c *conversation) farewell(e *verdict.Error) {
	c.session.Close()
	if c.codec.Refuse(e) != nil {
		return
	}
	_ = c.codec.SetReadDeadline(time.Now().Add(farewellTimeout))
	if _, err := c.codec.Next(); err == nil {
		_ = c.codec.Answer(statement.Answer{}, false)
	}
}

func (c *conversation) ended(err error) {
	if errors.Is(err, io.EOF) || c.server.ctx.Err() != nil {
		return
	}
	c.server.options.Logger.Log(event.CallerDisconnected, log.Fields{"reason": err.Error()})
}
