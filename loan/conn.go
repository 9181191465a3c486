package loan

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/connection"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
	"siskincove/verdict"
)

var (
	errDeadline        = errors.New("holder did not answer before the deadline")
	errClosed          = errors.New("borrowed connection closed")
	errRetired         = errors.New("holder no longer lends connections")
	errUnexpectedFrame = errors.New("unexpected frame from holder: not results")
	errEndpointLost    = errors.New("holder lost its connection to the endpoint")
)

// answerGrace is how long after the deadline of an exchange the answer of a holder that responds can be on its way: the
// round trip between distant regions.
const answerGrace = 100 * time.Millisecond

// Conn is a connection to an endpoint through another instance, the holder. The holder assigns one of its own connections
// to each exchange or transaction. A Conn must not be used by more than one goroutine at a time.
type Conn struct {
	stream  peer.Stream
	clock   clock.Service
	results chan *wire.Results
	broken  chan struct{}
	class   limit.Class
	target  time.Time
	// holder is the holder's address, and endpoint the name of the endpoint.
	holder   string
	endpoint string
	health   *Health
	// onSilence is called after an exchange that the holder did not answer in time.
	onSilence func()
	// workspace is the workspace of the loan, and spread is shared by all loans; nil where connections belong to none.
	workspace string
	spread    *Spread
	// otherHolder reports whether another holder may be asked for the same connection; nil if that is of no use.
	otherHolder func() bool
	// returnAt is when a loan from another holder than the workspace's first ends, zero for one from the first.
	returnAt time.Time
	// answered is set once the holder has sent anything since the last exchange began.
	answered atomic.Bool

	mu  sync.Mutex
	err error
	// busy is set while an exchange is in progress or a transaction is open.
	busy bool
	// retired is set once the holder has announced that it no longer lends this connection.
	retired bool
}

// newConn returns a connection to an endpoint through the holder at an address, over a stream on which the loan was requested.
// The reader goroutine ends with the stream.
func (d Dialer) newConn(stream peer.Stream, holder string, target connection.Target) *Conn {
	c := &Conn{
		stream: stream, clock: d.Clock, holder: holder, endpoint: target.Endpoint.Name, health: d.Health, onSilence: d.OnSilence,
		results: make(chan *wire.Results, 1), broken: make(chan struct{}), workspace: target.Workspace, spread: d.Spread,
	}
	if d.Spread != nil {
		c.otherHolder = func() bool { return len(d.askable(target)) > 0 }
		if first := d.Holders(target); len(first) > 0 && first[0].Address != holder {
			c.returnAt = d.Clock.Now().Add(otherHolderTime)
		}
	}
	c.health.add(holder, c)
	go c.readLoop()
	return c
}

// KeepsSession marks the connection as a connection.SessionKeeper: the holder records the settings and prepared statements.
func (c *Conn) KeepsSession() {}

// RoundTrip returns 0, which means unknown.
func (c *Conn) RoundTrip() time.Duration { return 0 }

// Broken returns a channel that is closed once the connection is no longer usable.
func (c *Conn) Broken() <-chan struct{} { return c.broken }

// Close closes the connection; the holder then rolls back an open transaction.
func (c *Conn) Close() { c.fail(errClosed) }

// SetClass sets the admission class in which later exchanges wait for one of the holder's connections, and until when their
// answers are on time.
func (c *Conn) SetClass(class limit.Class, target time.Time) { c.class, c.target = class, target }

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

// failByHolder ends the connection after its stream failed. Unless this instance closed it, the holder has stopped or is cut
// off.
func (c *Conn) failByHolder(err error) {
	c.mu.Lock()
	failed := c.err != nil
	c.failLocked(errors.Mark(errors.Wrap(err, "loan"), connection.ErrLender))
	c.mu.Unlock()
	if !failed {
		c.health.RecordSilence(c.holder)
	}
}

// abandon ends the connection after an exchange that was not answered by its deadline. The stream stays open for answerGrace:
// if the holder answers by then, only the endpoint was slow.
func (c *Conn) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = errors.Mark(errors.Wrap(errDeadline, c.holder), connection.ErrLender)
	close(c.broken)
	if c.otherHolder != nil {
		c.health.recordUnreachable(c.holder, c.endpoint)
	}
	time.AfterFunc(answerGrace, func() {
		_ = c.stream.Close()
		if c.answered.Load() {
			if c.otherHolder != nil {
				c.health.recordReachable(c.holder, c.endpoint)
			}
			return
		}
		c.health.RecordSilence(c.holder)
		c.onSilence()
	})
}

// readLoop passes results to Exchange until the stream ends.
func (c *Conn) readLoop() {
	defer c.health.remove(c.holder, c)
	for {
		frame, err := c.stream.Receive()
		if err != nil {
			c.failByHolder(err)
			return
		}
		c.answered.Store(true)
		r := frame.GetResults()
		if r == nil {
			c.fail(errUnexpectedFrame)
			return
		}
		if r.GetRetired() {
			c.health.recordRefusal(c.holder, c.endpoint)
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
	return c.exchange(ctx, deadline, 0, steps)
}

// ExchangeGuarded sends the steps to the holder, which divides them for the endpoint as described at connection.GuardedConn. Only
// holders of workspaces' connections are asked to.
func (c *Conn) ExchangeGuarded(ctx context.Context, deadline time.Time, guard int, steps ...statement.Step) ([]statement.Answer, bool, error) {
	if c.spread == nil {
		return nil, false, nil
	}
	answers, err := c.exchange(ctx, deadline, guard, steps)
	return answers, true, err
}

func (c *Conn) exchange(ctx context.Context, deadline time.Time, guard int, steps []statement.Step) ([]statement.Answer, error) {
	if err := c.beginExchange(); err != nil {
		return nil, err
	}
	c.answered.Store(false)
	now := c.clock.Now()
	remaining := deadline.Sub(now)
	aim := remaining
	if !c.target.IsZero() {
		aim = c.target.Sub(now)
	}
	stop := context.AfterFunc(ctx, func() { c.fail(ctx.Err()) })
	defer stop()
	err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Steps{Steps: toSteps(steps, guard, remaining, aim, c.class)}})
	if err != nil {
		c.failByHolder(err)
		return nil, c.lastError()
	}
	r := c.await(remaining)
	if r == nil {
		return nil, c.lastError()
	}
	answers := fromResults(r)
	complete := len(answers) == len(steps) || guard > 0 && len(answers) == guard && answers[guard-1].Failure != nil
	if r.GetBroken() || !complete {
		c.fail(errEndpointLost)
		return answers, errEndpointLost
	}
	c.noteRefusal(answers)
	c.noteCrowding(r.GetCrowded())
	c.endExchange(answers[len(answers)-1].State)
	return answers, nil
}

// noteRefusal makes the next statement ask another holder if this one could not reach the endpoint or does not lend its
// connections. While others may be asked, the refusals say nothing about the endpoint.
func (c *Conn) noteRefusal(answers []statement.Answer) {
	if c.otherHolder == nil {
		return
	}
	refused := slices.IndexFunc(answers, func(a statement.Answer) bool { return a.Failure != nil && isHolderRefusal(a.Failure) })
	if refused < 0 {
		return
	}
	if answers[refused].Failure.Reason == verdict.Unreachable {
		c.health.recordUnreachable(c.holder, c.endpoint)
		c.retire()
	}
	if !c.otherHolder() {
		return
	}
	loansRefused.Inc()
	for i, a := range answers {
		if a.Failure != nil && isHolderRefusal(a.Failure) {
			answers[i].Failure = a.Failure.WithCause(errors.Mark(errors.Wrap(a.Failure, c.holder), connection.ErrLender))
		}
	}
}

// isHolderRefusal reports whether a holder refused a step because it can't reach the endpoint or does not lend its connections.
func isHolderRefusal(failure *verdict.Error) bool {
	return failure.Verdict == verdict.NotRun && (failure.Reason == verdict.Unreachable || failure.Reason == verdict.Leaving)
}

// noteCrowding ends the loan after this exchange if the workspace's statements are to be spread, or to meet at its first holder
// again.
func (c *Conn) noteCrowding(crowded bool) {
	if c.spread == nil {
		return
	}
	switch {
	case crowded && c.spread.recordCrowding(c.endpoint, c.workspace):
		loansCrowded.Inc()
	case !c.returnAt.IsZero() && !c.clock.Now().Before(c.returnAt):
		loansReturned.Inc()
	default:
		return
	}
	c.retire()
}

// await returns the results, or nil if the connection failed or the remaining time passed before they arrived.
func (c *Conn) await(remaining time.Duration) *wire.Results {
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case r := <-c.results:
		c.health.recordAnswer(c.holder)
		return r
	case <-timer.C:
		c.abandon()
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
