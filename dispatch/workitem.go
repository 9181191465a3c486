package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/group"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// defaultTimeout bounds a statement whose route sets no deadline.
	defaultTimeout = 10 * time.Second
	// answerMargin is reserved for sending the answer to the caller.
	answerMargin = 20 * time.Millisecond
	// minAttemptTime is the least remaining time in which an attempt is worth making. minTimeLatencyFactor times the
	// endpoint's mean latency must remain too: a statement that is given up while it runs wastes its slot.
	minAttemptTime       = 8 * time.Millisecond
	minTimeLatencyFactor = 1.5
	// primaryRecheckInterval is how often a statement that waits for a primary checks again without a notification.
	primaryRecheckInterval = 50 * time.Millisecond
	// attemptTimeoutShare is the share of a read's timeout after which another endpoint is tried.
	attemptTimeoutShare = 0.45
	// readTimeoutLatencyFactor times an endpoint's mean latency is the least time that a read waits there, up to the
	// attempt timeout, since execution times vary severalfold.
	readTimeoutLatencyFactor = 6
	// avoidDuration is how long an endpoint that broke a connection or can't be reached is avoided, as by group.View.
	avoidDuration = 150 * time.Millisecond
	// misroutedAvoidDuration is the same for an endpoint at whose address another one answers; the directory soon drops
	// that address.
	misroutedAvoidDuration = 2 * time.Second
	// defaultRetryAfter is the time after which a refused caller should retry if nothing better is known: about the
	// duration of a failover.
	defaultRetryAfter = 300 * time.Millisecond
	// lowestPriorityWeight is the weight of the lowest priority in the queue for connections; each higher priority
	// doubles it.
	lowestPriorityWeight = 1
	lowestPriority       = 3
)

// workItem tracks the routing of a statement, or of a transaction by its first statement, over its attempts.
type workItem struct {
	session *Session
	// workspace is the session's, zero for none.
	workspace config.Workspace
	// giveBack returns the operation to the workspace's allotment, nil if there is none or something was sent to an endpoint.
	giveBack func()
	route    config.Route
	database *database.Database
	class    limit.Class
	query    group.Query
	started  time.Time
	deadline time.Time
	// attemptTimeout bounds one attempt of a read. latencyBudget is half of the route's target latency; it bounds an
	// attempt of a read too, unless the endpoint is known to be slow, so that another endpoint can still answer within
	// the target.
	attemptTimeout time.Duration
	latencyBudget  time.Duration
	// targetLatency is the route's; a later answer is logged as late.
	targetLatency time.Duration
	// routeBackoff is the initial backoff of the route, and backoff its state after the attempts so far.
	routeBackoff backoff
	backoff      backoff
	attempts     int
	// round summarizes the current round of attempts.
	round round
	// lastFailure is the last failure that certainly had no effect, nil if nothing was tried.
	lastFailure *verdict.Error
	// chosenEndpoint, chosenRule and chosenAfter are the endpoint, rule and required position of the last choice, for
	// the log.
	chosenEndpoint string
	chosenRule     string
	chosenAfter    string
}

// newWorkItem returns the work item of a statement of this session. With write set, only the primary may serve it.
func (s *Session) newWorkItem(write bool) (*workItem, *verdict.Error) {
	d := s.dispatcher
	route, catalog, refused := d.route(s.routeName)
	if refused != nil {
		return nil, refused
	}
	db, ok := d.options.Databases.Get(route.Database)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unconfigured, "database %s is not known yet", route.Database).WithRetryAfter(defaultRetryAfter)
	}
	timeout, target, priority := bounds(catalog, route)
	now := d.now()
	token, _ := s.token.Position(route.Database)
	allowance, _ := catalog.Allowance(route.Allowance)
	return &workItem{
		session: s, workspace: s.workspace, route: route, database: db, class: queueClass(priority),
		query: group.Query{
			PrimaryOnly: write || route.Reads == config.ReadsPrimary, Writes: write, Token: token, MaxAge: allowance.Age.Std(),
			Domain: d.options.Domain, Salt: s.salt,
		},
		started: now, deadline: now.Add(timeout - answerMargin), routeBackoff: newBackoff(timeout, priority), backoff: newBackoff(timeout, priority),
		attemptTimeout: time.Duration(attemptTimeoutShare * float64(timeout)), latencyBudget: target / 2, targetLatency: target,
	}, nil
}

func queueClass(priority int) limit.Class {
	doublings := max(lowestPriority-priority, 0)
	return limit.Class{Name: strconv.Itoa(priority), Weight: lowestPriorityWeight << doublings}
}

// nextEndpoint returns the endpoint to try, after waiting for one if none can serve now. It fails when too little time
// is left.
func (w *workItem) nextEndpoint(ctx context.Context) (group.Choice, *verdict.Error) {
	for {
		if w.deadline.Sub(w.session.dispatcher.now()) < minAttemptTime {
			return group.Choice{}, w.outOfTime()
		}
		if refused := w.checkKey(); refused != nil {
			return group.Choice{}, refused
		}
		changed := w.database.Changed()
		if choices := w.database.Choose(w.query); len(choices) > 0 {
			c := choices[0]
			if w.deadline.Sub(w.session.dispatcher.now()) < time.Duration(minTimeLatencyFactor*float64(c.MeanLatency)) {
				return group.Choice{}, w.outOfTime()
			}
			if w.waitsForProof(c) {
				if err := w.pause(ctx, database.ProofFetchTimeout, changed); err != nil {
					return group.Choice{}, err
				}
				continue
			}
			w.attempts++
			w.chosenEndpoint, w.chosenRule, w.chosenAfter = c.Endpoint.Name, c.Rule, c.After.String()
			return c, nil
		}
		if refused := w.waitForEndpoint(ctx, changed); refused != nil {
			return group.Choice{}, refused
		}
	}
}

// waitForEndpoint pauses until a statement that no endpoint can serve now should check again. It refuses the statement
// if checking again can't help.
func (w *workItem) waitForEndpoint(ctx context.Context, changed <-chan struct{}) *verdict.Error {
	if refused := w.refuseWithoutPrimary(); refused != nil {
		return refused
	}
	if w.round.queueFull && !w.round.retryable {
		return w.outOfTime()
	}
	if len(w.query.Tried) == 0 {
		return w.pause(ctx, primaryRecheckInterval, changed)
	}
	// Every endpoint has refused once: start the next round after a pause.
	w.round, w.query.Tried = round{}, nil
	return w.pause(ctx, w.nextBackoff(), nil)
}

// pause waits for d, at most until the deadline. It returns early when the channel early is closed, and with a failure
// when ctx ends.
func (w *workItem) pause(ctx context.Context, d time.Duration, early <-chan struct{}) *verdict.Error {
	d = min(d, w.deadline.Sub(w.session.dispatcher.now()))
	select {
	case <-w.session.dispatcher.options.Clock.After(d):
		return nil
	case <-early:
		return nil
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.Leaving, "instance is leaving").WithRetryAfter(defaultRetryAfter)
	}
}

// outOfTime returns the refusal of a statement whose time is up and that certainly had no effect.
func (w *workItem) outOfTime() *verdict.Error {
	if w.lastFailure == nil && w.attempts == 0 && len(w.database.Choose(w.query)) > 0 {
		return verdict.New(verdict.NotRun, verdict.Overload, "endpoints respond too slowly for the statement's deadline").WithRetryAfter(defaultRetryAfter)
	}
	if w.lastFailure == nil {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "no primary of %s is known", w.route.Database).WithRetryAfter(defaultRetryAfter)
	}
	after := w.lastFailure.RetryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	return verdict.New(verdict.NotRun, w.lastFailure.Reason, "%s; gave up after %d attempts", w.lastFailure.Message, w.attempts).WithRetryAfter(jitter(after))
}

// attemptDeadline returns when an attempt ends. A read may be tried at another endpoint, so an attempt gets only a part
// of the time: up to the latency budget, or longer if the endpoint is known to be slow. Anything else gets all the
// remaining time.
func (w *workItem) attemptDeadline(reads bool, c group.Choice) time.Time {
	if !reads {
		return w.deadline
	}
	end := w.session.dispatcher.now().Add(min(w.attemptTimeout, max(w.latencyBudget, readTimeoutLatencyFactor*c.MeanLatency)))
	if end.After(w.deadline) {
		return w.deadline
	}
	return end
}

// updateView updates the view of the group after an endpoint refused the statement, which was sent at the given time,
// and excludes the endpoint from the next attempts of the round. A failure of the instance that lends the connection says
// nothing about the endpoint, which another instance may lend.
func (w *workItem) updateView(c group.Choice, failure *verdict.Error, a statement.Answer, sent time.Time) {
	name := c.Endpoint.Name
	w.lastFailure = failure
	w.query.Tried = append(w.query.Tried, name)
	w.round = w.round.with(failure)
	if errors.Is(failure, connection.ErrLender) {
		return
	}
	switch failure.Reason {
	case verdict.Overload:
		w.database.RecordBusy(name)
	case verdict.Stale:
		w.database.RecordBehind(name, c.After, a.Position)
	case verdict.NotPrimary:
		w.database.RecordNotPrimary(name, sent)
	case verdict.Misrouted:
		w.database.Avoid(name, misroutedAvoidDuration)
	case verdict.Unreachable, verdict.TooManyConnections, verdict.Broken, verdict.Timeout:
		w.database.Avoid(name, avoidDuration)
		if !slices.Contains(w.query.Unreachable, name) {
			w.query.Unreachable = append(w.query.Unreachable, name)
		}
	}
}
