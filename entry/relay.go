package entry

import (
	"time"

	"siskincove/endpoint"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// cut is the verdict on a request whose stream ended before its answer.
func (c *caller) cut(write bool, cause error) error {
	v := verdict.MayHaveRun
	if !write {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Broken, "connection to the endpoint's owner failed").WithCause(cause).WithAfter(comeBackAfter)
}

// conclude relays the answer to the first request of a stream and keeps the stream if a transaction is open.
func (c *caller) conclude(w *work) error {
	last, err := c.relay(w)
	if err != nil {
		c.detach()
		return err
	}
	o := c.entry.options
	c.entry.counters.served(w.write, c.placedOnPrimary(), o.Clock.Now().Sub(w.started))
	c.settle(last)
	return nil
}

func (c *caller) placedOnPrimary() bool {
	primary, _ := c.entry.databases.find(c.route.Database).known().Primary()
	return primary == c.placed.endpoint.Name
}

// detach lets go of the stream after a failure.
func (c *caller) detach() {
	_ = c.stream.Close()
	c.streamEnd()
	c.stream = nil
	c.running.Store(nil)
}

// settle takes over the state in which a request has left the transaction.
func (c *caller) settle(last *wire.Response) {
	if status := byte(last.GetStatus()); status != 0 {
		c.status = status
	}
	if position := peer.FromPosition(last.GetPosition()); position != (endpoint.Position{}) {
		c.asserted[c.route.Database] = true
		c.token = c.token.With(c.route.Database, position)
	}
	if byte(last.GetStatus()) == statusIdle {
		c.stream.Release()
		c.streamEnd()
		c.stream = nil
		c.running.Store(nil)
	}
}

// relay hands the answer to the caller as it arrives, and returns its last part.
func (c *caller) relay(w *work) (*wire.Response, error) {
	limit := w.deadline.Sub(c.entry.options.Clock.Now()) + ownerGrace
	timer := time.AfterFunc(limit, c.streamEnd)
	defer timer.Stop()
	for {
		frame, err := c.stream.Receive()
		if err != nil {
			c.entry.options.Unreachable(c.placed.endpoint)
			c.avoid(c.placed.endpoint)
			return nil, c.cut(w.write, err)
		}
		response := frame.GetResponse()
		if response == nil {
			return nil, c.cut(w.write, errFrame)
		}
		c.learn(response)
		if failure := peer.FromFailure(response.GetFailure()); failure != nil {
			return nil, failure
		}
		if err := c.forward(w, response); err != nil {
			return nil, err
		}
		if response.GetLast() {
			return response, nil
		}
	}
}

// forward writes a part of an answer; the token goes before the last part, so that a driver that waits for
// ReadyForQuery has it by then.
func (c *caller) forward(w *work, response *wire.Response) error {
	if position := peer.FromPosition(response.GetPosition()); position != (endpoint.Position{}) {
		c.reportToken(position)
	}
	if len(response.GetPayload()) == 0 {
		return nil
	}
	w.forwarded = true
	if _, err := c.writer.Write(response.GetPayload()); err != nil {
		return verdict.New(verdict.Ran, verdict.Canceled, "caller left before its answer").WithCause(err)
	}
	return nil
}

func (c *caller) learn(response *wire.Response) {
	if response.GetEndpoint() == nil {
		return
	}
	status := peer.FromStatus(response.GetEndpoint())
	now := c.entry.options.Clock.Now()
	c.entry.databases.find(c.route.Database).learn(c.placed.endpoint.Name, status, int(response.GetWaiting()), now)
}
