package entry

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"siskincove/config"
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

var questionFresh = pool.StatusRequest{Fresh: true}

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

// need returns what a read must see: the session's token, or a barrier when it has none, and the route's allowance.
func (c *caller) need(w *work) (session.Requirement, error) {
	name := c.route.Database
	if !w.write && !c.asserted[name] {
		c.entry.counters.barriers.Inc()
		answer, err := c.entry.databases.inquire(c.entry.ctx, name, w.members)
		if err != nil || !answer.ok {
			c.entry.options.Logger.Log(event.BarrierFailed, log.Fields{"database": name, "caller": c.name})
			return session.Requirement{}, verdict.New(verdict.NotRun, verdict.Unreachable, "no majority of database %s answers", name)
		}
		c.asserted[name] = true
		c.token = c.token.With(name, answer.barrier)
		c.entry.options.Logger.Log(event.BarrierTaken, log.Fields{"database": name, "position": answer.barrier.String()})
	}
	position, _ := c.token.Position(name)
	allowance, _ := c.entry.options.Catalogs.Catalog().Allowance(w.route.Allowance)
	return session.Requirement{Position: position, MaxAge: allowance.Age.Std()}, nil
}

// choose returns the best endpoint not tried yet; when a write finds no primary, the endpoints are asked once.
func (c *caller) choose(w *work, need session.Requirement) (route.Candidate, bool) {
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
		o.Logger.Log(event.NoEndpointAvailable, log.Fields{"route": c.route.Name, "write": w.write, "tried": len(w.tried)})
		return route.Candidate{}, false
	}
	return found[0], true
}

func (c *caller) salt() string {
	return string([]byte{byte(c.process), byte(c.process >> 8), byte(c.process >> 16)})
}

// try sends the request to one endpoint's owner and hands the answer to the caller.
func (c *caller) try(w *work, candidate route.Candidate, need session.Requirement) error {
	o := c.entry.options
	e := candidate.Endpoint
	o.Logger.Log(event.EndpointChosen, log.Fields{
		"caller": c.name, "route": w.route.Name, "endpoint": e.Name, "write": w.write, "why": candidate.Rule, "token": need.Position.String(),
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

func (c *caller) openFrame(w *work, e config.Endpoint, need session.Requirement, id uint64) *wire.Open {
	return &wire.Open{
		Endpoint: e.Name,
		Route:    w.route.Name,
		Write:    w.write,
		Token:    peer.ToPosition(need.Position),
		Age:      peer.Micros(need.MaxAge),
		Deadline: peer.Micros(w.deadline.Sub(c.entry.options.Clock.Now())),
		Patience: peer.Micros(patience),
		Settings: c.wireSettings(),
		Request:  w.request.wire,
		Id:       id,
	}
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
