package entry

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"siskincove/config"
	"siskincove/event"
	"siskincove/session"
	"siskincove/verdict"
)

// execute sends a request to endpoints until one has served it, or it may have run, or no further attempt is allowed.
func (c *caller) execute(ex *execution) error {
	c.server.retries.countRequest()
	err := c.executeWithRetries(ex)
	if err != nil && !ex.write && verdict.From(err).Reason == verdict.ReadOnly {
		// The endpoint found that the statement writes, although classify took it for a read: run it on the primary.
		ex.write, ex.tried = true, nil
		return c.executeWithRetries(ex)
	}
	return err
}

// executeWithRetries tries the endpoints in up to roundsMaximum rounds, with exponential backoff between rounds.
func (c *caller) executeWithRetries(ex *execution) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = backoffInitial, backoffMaximum
	var last error
	for round := range roundsMaximum {
		if round > 0 {
			if err := c.pause(ex, delays.NextBackOff()); err != nil {
				break
			}
			ex.tried = nil
		}
		err := c.tryRoutes(ex)
		if err == nil || !c.retryable(ex, err) {
			return err
		}
		last = err
	}
	return last
}

// tryRoutes tries the session's route and, as long as no endpoint is fresh enough for a read, its fallback routes.
func (c *caller) tryRoutes(ex *execution) error {
	ex.route = c.route
	for {
		err := c.tryEndpoints(ex)
		if err == nil || ex.write || !c.retryable(ex, err) || verdict.From(err).Reason != verdict.Stale {
			return err
		}
		next, ok := c.server.options.Catalogs.Catalog().Route(ex.route.Fallback)
		if !ok {
			return err
		}
		ex.route, ex.tried = next, nil
	}
}

// tryEndpoints tries each endpoint that may serve the request once, best first.
func (c *caller) tryEndpoints(ex *execution) error {
	required, err := c.requirement(ex)
	if err != nil {
		return err
	}
	last := error(verdict.New(verdict.NotRun, verdict.Unreachable, "no known endpoint can serve the request"))
	for {
		candidate, ok := c.chooseEndpoint(ex, required)
		if !ok {
			return last
		}
		if len(ex.tried) > 0 && !isStale(last) && !c.server.retries.allowRetry() {
			return verdict.New(verdict.NotRun, verdict.Budget, "retry budget is exhausted").WithCause(last)
		}
		ex.tried = append(ex.tried, candidate.Endpoint.Name)
		last = c.tryEndpoint(ex, candidate, required)
		if last == nil || !c.retryable(ex, last) {
			return last
		}
		c.recordFailure(ex, candidate.Endpoint, required, last)
		c.server.counters.retries.Inc()
		c.server.options.Logger.Log(event.RequestRetried, log.Fields{"endpoint": candidate.Endpoint.Name, "cause": last.Error()})
	}
}

// isStale reports whether an endpoint refused a read because its data was not fresh enough. Trying the next endpoint then
// does not count against the retry budget, since the first one has done no work.
func isStale(err error) bool { return verdict.From(err).Reason == verdict.Stale }

// recordFailure notes that an endpoint refused a request, so that later requests prefer other endpoints for a while.
func (c *caller) recordFailure(ex *execution, e config.Endpoint, required session.Requirement, err error) {
	if verdict.From(err).Reason == verdict.Stale {
		until := c.server.options.Clock.Now().Add(avoidDuration)
		c.server.databases.getOrCreate(c.route.Database).recordStale(e.Name, required, until)
		return
	}
	if ex.write {
		c.avoid(e)
	}
}

// retryable reports whether a request may be sent again: it did not run, no part of an answer has been sent to the
// caller, and another endpoint or a later attempt could give a different result.
func (c *caller) retryable(ex *execution, err error) bool {
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun || ex.forwarded {
		return false
	}
	switch e.Reason {
	case verdict.Unsupported, verdict.Budget, verdict.Canceled, verdict.ReadOnly:
		return false
	case verdict.Overload:
		return !ex.write
	default:
		return c.server.options.Clock.Now().Before(ex.deadline)
	}
}

// pause waits for d. It returns an error at once if the request's deadline would pass, or when the server is closed.
func (c *caller) pause(ex *execution, d time.Duration) error {
	if c.server.options.Clock.Now().Add(d).After(ex.deadline) {
		return context.DeadlineExceeded
	}
	select {
	case <-c.server.ctx.Done():
		return c.server.ctx.Err()
	case <-c.server.options.Clock.After(d):
		return nil
	}
}
