package entry

import (
	"time"

	"siskincove/endpoint"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// brokenStream returns the error of a request whose stream failed before its answer was complete.
func (c *caller) brokenStream(write bool, cause error) error {
	v := verdict.MayHaveRun
	if !write {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Broken, "connection to the endpoint's owner failed").WithCause(cause).WithRetryAfter(defaultRetryAfter)
}

// relayFirst relays the answer to the first request of a stream, and keeps the stream if a transaction is open then.
func (c *caller) relayFirst(ex *execution) error {
	last, err := c.relay(ex)
	if err != nil {
		c.closeStream()
		return err
	}
	o := c.server.options
	c.server.counters.countServed(ex.write, c.onPrimary(), o.Clock.Now().Sub(ex.started))
	c.applyResponse(last)
	return nil
}

// onPrimary reports whether the current endpoint is the known primary.
func (c *caller) onPrimary() bool {
	primary, _ := c.server.databases.getOrCreate(c.route.Database).snapshot().Primary()
	return primary == c.placement.endpoint.Name
}

// closeStream closes the stream after a failure.
func (c *caller) closeStream() {
	_ = c.stream.Close()
	c.cancelStream()
	c.stream = nil
	c.running.Store(nil)
}

// applyResponse updates the transaction state and the token from the last part of an answer, and releases the stream if
// no transaction is open.
func (c *caller) applyResponse(last *wire.Response) {
	if status := byte(last.GetStatus()); status != 0 {
		c.status = status
	}
	if position := peer.FromPosition(last.GetPosition()); position != (endpoint.Position{}) {
		c.positionKnown[c.route.Database] = true
		c.token = c.token.With(c.route.Database, position)
	}
	if byte(last.GetStatus()) == statusIdle {
		c.stream.Release()
		c.cancelStream()
		c.stream = nil
		c.running.Store(nil)
	}
}

// relay forwards the answer to the caller part by part as it arrives, and returns the last part.
func (c *caller) relay(ex *execution) (*wire.Response, error) {
	timeout := ex.deadline.Sub(c.server.options.Clock.Now()) + ownerGrace
	timer := time.AfterFunc(timeout, c.cancelStream)
	defer timer.Stop()
	for {
		frame, err := c.stream.Receive()
		if err != nil {
			c.server.options.OnOwnerUnreachable(c.placement.endpoint)
			c.avoid(c.placement.endpoint)
			return nil, c.brokenStream(ex.write, err)
		}
		response := frame.GetResponse()
		if response == nil {
			return nil, c.brokenStream(ex.write, errUnexpectedFrame)
		}
		c.recordStatus(response)
		if failure := peer.FromFailure(response.GetFailure()); failure != nil {
			return nil, failure
		}
		if err := c.forward(ex, response); err != nil {
			return nil, err
		}
		if response.GetLast() {
			return response, nil
		}
	}
}

// forward writes one part of an answer. The token is sent before the last part, so that a driver has received it when
// it reads ReadyForQuery.
func (c *caller) forward(ex *execution, response *wire.Response) error {
	if position := peer.FromPosition(response.GetPosition()); position != (endpoint.Position{}) {
		c.sendToken(position)
	}
	if len(response.GetPayload()) == 0 {
		return nil
	}
	ex.forwarded = true
	if _, err := c.writer.Write(response.GetPayload()); err != nil {
		return verdict.New(verdict.Ran, verdict.Canceled, "caller disconnected before its answer was sent").WithCause(err)
	}
	return nil
}

func (c *caller) recordStatus(response *wire.Response) {
	if response.GetEndpoint() == nil {
		return
	}
	status := peer.FromStatus(response.GetEndpoint())
	now := c.server.options.Clock.Now()
	c.server.databases.getOrCreate(c.route.Database).recordStatus(c.placement.endpoint.Name, status, int(response.GetWaiting()), now)
}
