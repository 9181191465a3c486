package dispatch

import (
	"context"
	"slices"
	"strconv"
	"time"

	"siskincove/config"
	"siskincove/database"
	"siskincove/group"
	"siskincove/limit"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// defaultTimeout bounds a statement whose route sets no bound.
	defaultTimeout = 10 * time.Second
	// answerMargin is left of a statement's time for the answer's way to the caller.
	answerMargin = 20 * time.Millisecond
	// leastTime is the least time that is worth trying an endpoint in, and takesShare what it must be of the time that the
	// endpoint's statements take: one that is given up while it runs has taken its slot for nothing.
	leastTime  = 8 * time.Millisecond
	takesShare = 1.5
	// leadPause is how often a statement that waits for a primary looks again without being told of one.
	leadPause = 50 * time.Millisecond
	// attemptShare is the part of a read's time that one endpoint gets before another is tried.
	attemptShare = 0.45
	// silenceFactor is how many times longer than on average a statement takes before it counts as lost; works spread by
	// a factor of some.
	silenceFactor = 6
	// avoidPause is how long an endpoint that broke a connection or can't be reached is tried last.
	avoidPause = 150 * time.Millisecond
	// misroutedPause is how long an address at which another endpoint answers is not used; the directory forgets it soon.
	misroutedPause = 2 * time.Second
	// comeBackAfter is when a refused caller should return if nothing better is known: about a failover.
	comeBackAfter = 300 * time.Millisecond
	// weightBase is the weight of the lowest priority in the queue for connections; each priority doubles it.
	weightBase     = 1
	priorityLowest = 3
)

// work is a statement, or the first one of a transaction, on its way to an endpoint.
type work struct {
	session  *Session
	route    config.Route
	database *database.Database
	class    limit.Class
	query    group.Query
	started  time.Time
	deadline time.Time
	// patience bounds one try of a read, and promptness is the time after which it is not in time for its caller any more.
	patience   time.Duration
	promptness time.Duration
	// usual is the pace that the route gives, and pace what the tries so far have made of it.
	usual pace
	pace  pace
	tries int
	// round is what the present round of tries has come to.
	round round
	// last is the last failure that certainly had no effect, nil when nothing was tried.
	last *verdict.Error
	// placed and after are the last choice, for the log.
	placed string
	why    string
	after  string
}

// newWork returns the work of a statement of this session.
func (s *Session) newWork(write bool) (*work, *verdict.Error) {
	d := s.dispatcher
	route, catalog, refused := d.route(s.name)
	if refused != nil {
		return nil, refused
	}
	db, ok := d.options.Databases.Get(route.Database)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unconfigured, "database %s is not known yet", route.Database).WithAfter(comeBackAfter)
	}
	timeout, target, priority := bounds(catalog, route)
	now := d.now()
	token, _ := s.token.Position(route.Database)
	allowance, _ := catalog.Allowance(route.Allowance)
	return &work{
		session: s, route: route, database: db, class: class(priority),
		query: group.Query{
			PrimaryOnly: write || route.Reads == config.ReadsPrimary, Token: token, MaxAge: allowance.Age.Std(),
			Domain: d.options.Domain, Salt: s.salt,
		},
		started: now, deadline: now.Add(timeout - answerMargin), usual: newPace(timeout, priority), pace: newPace(timeout, priority),
		patience: time.Duration(attemptShare * float64(timeout)), promptness: target / 2,
	}, nil
}

func class(priority int) limit.Class {
	steps := max(priorityLowest-priority, 0)
	return limit.Class{Name: strconv.Itoa(priority), Weight: weightBase << steps}
}

// next returns the endpoint to try, after waiting for one if none can serve now; it fails when time is up.
func (w *work) next(ctx context.Context) (group.Choice, *verdict.Error) {
	for {
		if w.deadline.Sub(w.session.dispatcher.now()) < leastTime {
			return group.Choice{}, w.exhausted()
		}
		changed := w.database.Changed()
		if choices := w.database.Choose(w.query); len(choices) > 0 {
			c := choices[0]
			if w.deadline.Sub(w.session.dispatcher.now()) < time.Duration(takesShare*float64(c.MeanLatency)) {
				return group.Choice{}, w.exhausted()
			}
			if w.waitsForProof(c) {
				if err := w.pause(ctx, database.SeekTimeout, changed); err != nil {
					return group.Choice{}, err
				}
				continue
			}
			w.tries++
			w.placed, w.why, w.after = c.Endpoint.Name, c.Rule, c.After.String()
			return c, nil
		}
		if refused := w.wait(ctx, changed); refused != nil {
			return group.Choice{}, refused
		}
	}
}

// wait pauses until a statement that no endpoint serves now may look again; it refuses one for which that has no use.
func (w *work) wait(ctx context.Context, changed <-chan struct{}) *verdict.Error {
	if refused := w.hopeless(); refused != nil {
		return refused
	}
	if w.round.full && !w.round.hopeful {
		return w.exhausted()
	}
	if len(w.query.Tried) == 0 {
		return w.pause(ctx, leadPause, changed)
	}
	// Every endpoint has refused once: the next round starts after a pause.
	w.round, w.query.Tried = round{}, nil
	return w.pause(ctx, w.takeBackoff(), nil)
}

// pause waits, at most until the deadline; a nil channel never ends it early.
func (w *work) pause(ctx context.Context, d time.Duration, early <-chan struct{}) *verdict.Error {
	d = min(d, w.deadline.Sub(w.session.dispatcher.now()))
	select {
	case <-w.session.dispatcher.options.Clock.After(d):
		return nil
	case <-early:
		return nil
	case <-ctx.Done():
		return verdict.New(verdict.NotRun, verdict.Leaving, "instance is leaving").WithAfter(comeBackAfter)
	}
}

// exhausted is the refusal of a statement whose time is up and that certainly had no effect.
func (w *work) exhausted() *verdict.Error {
	if w.last == nil && w.tries == 0 && len(w.database.Choose(w.query)) > 0 {
		return verdict.New(verdict.NotRun, verdict.Overload, "endpoints take longer than the statement's time").WithAfter(comeBackAfter)
	}
	if w.last == nil {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "no primary of %s is known", w.route.Database).WithAfter(comeBackAfter)
	}
	after := w.last.After
	if after <= 0 {
		after = comeBackAfter
	}
	return verdict.New(verdict.NotRun, w.last.Reason, "%s; given up after %d tries", w.last.Message, w.tries).WithAfter(spread(after))
}

// attemptDeadline is when a try ends. A read may go elsewhere: while that can still be in time for the caller, unless the
// endpoint is known to take long. Anything else has the whole time.
func (w *work) attemptDeadline(reads bool, c group.Choice) time.Time {
	if !reads {
		return w.deadline
	}
	limit := w.session.dispatcher.now().Add(min(w.patience, max(w.promptness, silenceFactor*c.MeanLatency)))
	if limit.After(w.deadline) {
		return w.deadline
	}
	return limit
}

// learn takes in that an endpoint refused the statement, sent at a time, so that the next try goes elsewhere.
func (w *work) learn(c group.Choice, failure *verdict.Error, a statement.Answer, sent time.Time) {
	name := c.Endpoint.Name
	w.last = failure
	w.query.Tried = append(w.query.Tried, name)
	w.round = w.round.with(failure)
	switch failure.Reason {
	case verdict.Overload:
		w.database.RecordBusy(name)
	case verdict.Stale:
		w.database.RecordBehind(name, c.After, a.Position)
	case verdict.NotPrimary:
		w.database.RecordDenial(name, sent)
	case verdict.Misrouted:
		w.database.Avoid(name, misroutedPause)
	case verdict.Unreachable, verdict.Connections, verdict.Broken, verdict.Timeout:
		w.database.Avoid(name, avoidPause)
		if !slices.Contains(w.query.Unreachable, name) {
			w.query.Unreachable = append(w.query.Unreachable, name)
		}
	}
}
