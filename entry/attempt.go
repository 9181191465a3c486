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

// attempt tries endpoints until one has served the request, or it may have run, or it is given up.
func (c *caller) attempt(w *work) error {
	c.entry.retries.request()
	err := c.attemptRounds(w)
	if err != nil && !w.write && verdict.From(err).Reason == verdict.ReadOnly {
		// The endpoint has found out that the statement writes, which its first words did not tell.
		w.write, w.tried = true, nil
		return c.attemptRounds(w)
	}
	return err
}

// attemptRounds tries the endpoints in a few rounds with pauses between them.
func (c *caller) attemptRounds(w *work) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = backoffFirst, backoffMaximum
	var last error
	for round := range roundsMaximum {
		if round > 0 {
			if err := c.pause(w, pauses.NextBackOff()); err != nil {
				break
			}
			w.tried = nil
		}
		err := c.attemptRoutes(w)
		if err == nil || !c.retryable(w, err) {
			return err
		}
		last = err
	}
	return last
}

// attemptRoutes tries the session's route and, while no endpoint is fresh enough, the routes that it falls back to.
func (c *caller) attemptRoutes(w *work) error {
	w.route = c.route
	for {
		err := c.attemptRound(w)
		if err == nil || w.write || !c.retryable(w, err) || verdict.From(err).Reason != verdict.Stale {
			return err
		}
		next, ok := c.entry.options.Catalogs.Catalog().Route(w.route.Fallback)
		if !ok {
			return err
		}
		w.route, w.tried = next, nil
	}
}

// attemptRound tries each endpoint that may serve the request once.
func (c *caller) attemptRound(w *work) error {
	need, err := c.need(w)
	if err != nil {
		return err
	}
	last := error(verdict.New(verdict.NotRun, verdict.Unreachable, "no endpoint is known that could serve the request"))
	for {
		candidate, ok := c.choose(w, need)
		if !ok {
			return last
		}
		if len(w.tried) > 0 && !moved(last) && !c.entry.retries.allow() {
			return verdict.New(verdict.NotRun, verdict.Budget, "retry budget is spent").WithCause(last)
		}
		w.tried = append(w.tried, candidate.Endpoint.Name)
		last = c.try(w, candidate, need)
		if last == nil || !c.retryable(w, last) {
			return last
		}
		c.remember(w, candidate.Endpoint, need, last)
		c.entry.counters.retries.Inc()
		c.entry.options.Logger.Log(event.RequestRetried, log.Fields{"endpoint": candidate.Endpoint.Name, "cause": last.Error()})
	}
}

// moved reports whether a refusal only sends a read on to a fresher endpoint, which is no retry of work that was done.
func moved(err error) bool { return verdict.From(err).Reason == verdict.Stale }

// remember keeps what a refusal says of the endpoint, so that coming requests go elsewhere first.
func (c *caller) remember(w *work, e config.Endpoint, need session.Requirement, err error) {
	if verdict.From(err).Reason == verdict.Stale {
		until := c.entry.options.Clock.Now().Add(avoidFor)
		c.entry.databases.find(c.route.Database).stale(e.Name, need, until)
		return
	}
	if w.write {
		c.avoid(e)
	}
}

// retryable reports whether a request may be sent again: it certainly did not run, nothing of an answer has reached the
// caller, and the refusal does not hold everywhere.
func (c *caller) retryable(w *work, err error) bool {
	e := verdict.From(err)
	if e.Verdict != verdict.NotRun || w.forwarded {
		return false
	}
	switch e.Reason {
	case verdict.Unsupported, verdict.Budget, verdict.Canceled, verdict.ReadOnly:
		return false
	case verdict.Overload:
		return !w.write
	default:
		return c.entry.options.Clock.Now().Before(w.deadline)
	}
}

func (c *caller) pause(w *work, d time.Duration) error {
	if c.entry.options.Clock.Now().Add(d).After(w.deadline) {
		return context.DeadlineExceeded
	}
	select {
	case <-c.entry.ctx.Done():
		return c.entry.ctx.Err()
	case <-c.entry.options.Clock.After(d):
		return nil
	}
}
