package entry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/pool"
	"siskincove/route"
	"siskincove/session"
	"siskincove/verdict"
)

const (
	defaultDeadline = 10 * time.Second
	// patience is how long a replica may take to reach the session's token before another endpoint is tried.
	patience = 100 * time.Millisecond
	// ownerGrace is how long beyond its deadline a request waits for the owner's own refusal.
	ownerGrace     = 500 * time.Millisecond
	roundsMaximum  = 3
	backoffFirst   = 20 * time.Millisecond
	backoffMaximum = 150 * time.Millisecond
	comeBackAfter  = 250 * time.Millisecond
)

var questionFresh = pool.Question{Fresh: true}

// work is a request on its way to an endpoint.
type work struct {
	request *request
	// route gives the allowance and the class: the session's route, or one that it falls back to.
	route     config.Route
	write     bool
	members   []config.Endpoint
	deadline  time.Time
	tried     []string
	forwarded bool
	started   time.Time
}

// dispatch sends a request to an endpoint: the one of the open transaction, or one that is chosen.
func (c *caller) dispatch(r *request) error {
	if c.stream != nil {
		return c.proceed(r)
	}
	if c.status == statusFailed {
		if r.class != classCommit && r.class != classRollback {
			return c.failedTransaction(r)
		}
		c.status = statusIdle
	}
	if r.wire.GetExtended() && onlySync(r.wire.GetPayload()) {
		return c.ready()
	}
	return c.begin(r)
}

// begin runs a request outside a transaction, retrying what certainly did not run.
func (c *caller) begin(r *request) error {
	now := c.entry.options.Clock.Now()
	catalog := c.entry.options.Catalogs.Catalog()
	current, ok := catalog.Route(c.route.Name)
	if !ok {
		return c.refuse(r, verdict.New(verdict.NotRun, verdict.Unconfigured, "route %q is no longer declared", c.route.Name))
	}
	c.route = current
	w := &work{request: r, route: current, write: r.writes(), members: catalog.Members(current.Database), started: now}
	w.deadline = now.Add(c.budget(catalog))
	r.wire.Ends = r.synced && r.class != classBegin && r.class != classBeginRead
	c.entry.requests.Add(1)
	err := c.attempt(w)
	if c.stream == nil {
		c.entry.requests.Add(-1)
	}
	if err != nil {
		return c.giveUp(w, err)
	}
	return c.writer.Flush()
}

// writes reports whether the request needs the primary and a confirmed commit.
func (r *request) writes() bool {
	switch r.class {
	case classRead, classBeginRead, classShow, classEmpty, classCommit, classRollback:
		return r.several && !r.wire.GetExtended()
	default:
		return true
	}
}

func (c *caller) budget(catalog *config.Catalog) time.Duration {
	bounds, _ := catalog.Limit(c.route.Limit)
	if d := bounds.Deadline.Std(); d > 0 {
		return d
	}
	return defaultDeadline
}

// giveUp sends the final answer to a request that was given up.
func (c *caller) giveUp(w *work, err error) error {
	e := verdict.From(err)
	if e.Verdict == verdict.NotRun && e.After == 0 && e.Reason != verdict.Unsupported {
		e = e.WithAfter(comeBackAfter)
	}
	c.entry.counters.refused(e)
	c.entry.options.Logger.Log(event.RequestRefused, log.Fields{
		"caller": c.name, "route": c.route.Name, "write": w.write, "verdict": e.Verdict.String(),
		"reason": string(e.Reason), "after": e.After.String(), "cause": e.Error(),
	})
	return c.refuse(w.request, e)
}

// attempt tries endpoints until one has served the request, or it may have run, or it is given up.
func (c *caller) attempt(w *work) error {
	c.entry.retries.request()
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
func moved(err error) bool {
	reason := verdict.From(err).Reason
	return reason == verdict.Stale || reason == verdict.ReadOnly
}

// remember keeps what a refusal says of the endpoint, so that coming requests go elsewhere first.
func (c *caller) remember(w *work, e config.Endpoint, need session.Need, err error) {
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
	case verdict.Unsupported, verdict.Budget, verdict.Canceled:
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

// need returns what a read must see: the session's token, or a barrier when it has none, and the route's allowance.
func (c *caller) need(w *work) (session.Need, error) {
	name := c.route.Database
	if !w.write && !c.asserted[name] {
		c.entry.counters.barriers.Inc()
		answer, err := c.entry.databases.inquire(c.entry.ctx, name, w.members)
		if err != nil || !answer.ok {
			c.entry.options.Logger.Log(event.BarrierFailed, log.Fields{"database": name, "caller": c.name})
			return session.Need{}, verdict.New(verdict.NotRun, verdict.Unreachable, "no majority of database %s answers", name)
		}
		c.asserted[name] = true
		c.token = c.token.With(name, answer.barrier)
		c.entry.options.Logger.Log(event.BarrierTaken, log.Fields{"database": name, "position": answer.barrier.String()})
	}
	position, _ := c.token.Position(name)
	allowance, _ := c.entry.options.Catalogs.Catalog().Allowance(w.route.Allowance)
	return session.Need{Token: position, Age: allowance.Age.Std()}, nil
}

// choose returns the best endpoint not tried yet; when a write finds no primary, the endpoints are asked once.
func (c *caller) choose(w *work, need session.Need) (route.Candidate, bool) {
	o := c.entry.options
	database := c.entry.databases.find(c.route.Database)
	request := route.Request{
		Write:    w.write,
		Replicas: c.route.Reads == config.ReadsReplica,
		Domain:   o.Domain,
		Salt:     c.salt(),
		Need:     need,
		Tried:    w.tried,
	}
	found := route.Choose(request, w.members, database.known(), o.Clock.Now())
	if len(found) == 0 && len(w.tried) == 0 {
		_, _ = c.entry.databases.inquire(c.entry.ctx, c.route.Database, w.members)
		found = route.Choose(request, w.members, database.known(), o.Clock.Now())
	}
	if len(found) == 0 {
		o.Logger.Log(event.RouteNone, log.Fields{"route": c.route.Name, "write": w.write, "tried": len(w.tried)})
		return route.Candidate{}, false
	}
	return found[0], true
}

func (c *caller) salt() string {
	return string([]byte{byte(c.process), byte(c.process >> 8), byte(c.process >> 16)})
}

// try sends the request to one endpoint's owner and hands the answer to the caller.
func (c *caller) try(w *work, candidate route.Candidate, need session.Need) error {
	o := c.entry.options
	e := candidate.Endpoint
	o.Logger.Log(event.RouteChosen, log.Fields{
		"caller": c.name, "route": w.route.Name, "endpoint": e.Name, "write": w.write, "why": candidate.Why, "token": need.Token.String(),
	})
	ctx, cancel := context.WithCancel(c.entry.ctx)
	stream, err := o.Owners.Open(ctx, e)
	if err != nil {
		cancel()
		o.Doubt(e)
		c.avoid(e)
		return err
	}
	id := c.entry.identify()
	c.running.Store(&running{id: id, endpoint: e})
	if err := stream.Send(&wire.Frame{Body: &wire.Frame_Open{Open: c.openFrame(w, e, need, id)}}); err != nil {
		_ = stream.Close()
		cancel()
		return c.cut(w.write, err)
	}
	c.stream, c.streamEnd, c.placed = stream, cancel, placed{endpoint: e, write: w.write}
	return c.conclude(w)
}

func (c *caller) avoid(e config.Endpoint) {
	until := c.entry.options.Clock.Now().Add(avoidFor)
	c.entry.databases.find(c.route.Database).avoid(e.Name, until)
}

func (c *caller) openFrame(w *work, e config.Endpoint, need session.Need, id uint64) *wire.Open {
	return &wire.Open{
		Endpoint: e.Name,
		Route:    w.route.Name,
		Write:    w.write,
		Token:    peer.ToPosition(need.Token),
		Age:      peer.Micros(need.Age),
		Deadline: peer.Micros(w.deadline.Sub(c.entry.options.Clock.Now())),
		Patience: peer.Micros(patience),
		Settings: c.wireSettings(),
		Request:  w.request.wire,
		Id:       id,
	}
}

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
			c.entry.options.Doubt(c.placed.endpoint)
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

// proceed sends the next request of an open transaction.
func (c *caller) proceed(r *request) error {
	now := c.entry.options.Clock.Now()
	catalog := c.entry.options.Catalogs.Catalog()
	w := &work{request: r, write: c.placed.write, started: now, deadline: now.Add(c.budget(catalog))}
	r.wire.Ends = r.synced && slices.Contains([]class{classCommit, classRollback}, r.class)
	last, err := c.exchange(w)
	if err != nil {
		c.detach()
		c.entry.requests.Add(-1)
		return c.failTransaction(w, err)
	}
	c.settle(last)
	if c.stream == nil {
		c.entry.requests.Add(-1)
	}
	return c.writer.Flush()
}

func (c *caller) exchange(w *work) (*wire.Response, error) {
	if err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: w.request.wire}}); err != nil {
		return nil, c.cut(w.write, err)
	}
	return c.relay(w)
}

// failTransaction answers a request whose transaction was lost. Until COMMIT is sent the transaction can't take effect,
// so only a failed COMMIT may have run.
func (c *caller) failTransaction(w *work, err error) error {
	e := verdict.From(err)
	commits := w.request.class == classCommit || w.request.several
	if c.status == statusTransaction && !commits && e.Verdict == verdict.MayHaveRun {
		e = verdict.New(verdict.NotRun, e.Reason, "transaction was lost before its commit: %s", e.Message).WithAfter(e.After).WithCause(e.Cause)
	}
	if commits {
		c.status = statusIdle
	} else if c.status == statusTransaction {
		c.status = statusFailed
	}
	return c.giveUp(w, e)
}
