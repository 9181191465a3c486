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
	// catchUpTimeout is how long a replica may take to replay up to the session's token before another endpoint is tried.
	catchUpTimeout = 100 * time.Millisecond
	// ownerGrace is how long past its deadline a request waits for the verdict of the endpoint's owner.
	ownerGrace     = 500 * time.Millisecond
	roundsMaximum  = 3
	backoffInitial = 20 * time.Millisecond
	backoffMaximum = 150 * time.Millisecond
	// defaultRetryAfter is the suggested delay before a retry if the failure names none.
	defaultRetryAfter = 250 * time.Millisecond
)

var freshStatusRequest = pool.StatusRequest{Fresh: true}

// execution is the state of a request while it is tried on endpoints.
type execution struct {
	request *request
	// route is the session's route or one of its fallbacks. It determines the allowance, and the route name that is sent
	// to the owner.
	route     config.Route
	write     bool
	endpoints []config.Endpoint
	deadline  time.Time
	// tried holds the names of the endpoints tried on the current route in this round.
	tried []string
	// forwarded is set once part of an answer has been sent to the caller.
	forwarded bool
	started   time.Time
}

// dispatch sends a request to the endpoint of the open transaction, or to one chosen for the request if none is open. In a
// failed transaction it refuses everything but COMMIT and ROLLBACK.
func (c *caller) dispatch(r *request) error {
	workspace, err := c.workspace(c.server.options.Catalogs.Catalog())
	if err != nil {
		return err
	}
	if c.stream != nil {
		return c.executeInTransaction(r)
	}
	if c.status == statusFailed {
		if r.class != classCommit && r.class != classRollback {
			return c.refuseInFailedTransaction(r)
		}
		c.status = statusIdle
	}
	if r.wire.GetExtended() && onlySync(r.wire.GetPayload()) {
		return c.sendReadyForQuery()
	}
	return c.executeOutsideTransaction(r, workspace)
}

// executeOutsideTransaction runs a request that may start a transaction, and retries it as long as it did not run. The request
// counts as an operation of the workspace.
func (c *caller) executeOutsideTransaction(r *request, workspace config.Workspace) error {
	now := c.server.options.Clock.Now()
	catalog := c.server.options.Catalogs.Catalog()
	current, ok := catalog.Route(c.route.Name)
	if !ok {
		return c.refuse(r, verdict.New(verdict.NotRun, verdict.Unconfigured, "route %q is no longer configured", c.route.Name))
	}
	c.route = current
	ex := &execution{request: r, route: current, write: r.writes(), endpoints: catalog.Members(current.Database), started: now}
	ex.deadline = now.Add(c.requestTimeout(catalog))
	r.wire.Ends = r.synced && r.class != classBegin && r.class != classBeginRead
	if err := c.takeOperation(ex, workspace); err != nil {
		return c.reportFailure(ex, err)
	}
	c.server.inflight.Add(1)
	err := c.execute(ex)
	if c.stream == nil {
		c.server.inflight.Add(-1)
	}
	if err != nil {
		return c.reportFailure(ex, err)
	}
	return c.writer.Flush()
}

// writes reports whether the request has to run on the primary with a confirmed commit.
func (r *request) writes() bool {
	switch r.class {
	case classRead, classBeginRead, classShow, classEmpty, classCommit, classRollback:
		return r.multiStatement && !r.wire.GetExtended()
	default:
		return true
	}
}

// requestTimeout returns how long a request may take: the deadline of the route's limit, or defaultDeadline.
func (c *caller) requestTimeout(catalog *config.Catalog) time.Duration {
	limit, _ := catalog.Limit(c.route.Limit)
	if d := limit.Deadline.Std(); d > 0 {
		return d
	}
	return defaultDeadline
}

// reportFailure counts and logs a request that failed, and sends the error to the caller.
func (c *caller) reportFailure(ex *execution, err error) error {
	e := verdict.From(err)
	if e.Verdict == verdict.NotRun && e.RetryAfter == 0 && e.Reason != verdict.Unsupported {
		e = e.WithRetryAfter(defaultRetryAfter)
	}
	c.server.counters.countRefusal(e)
	fields := log.Fields{
		"caller": c.name, "route": c.route.Name, "write": ex.write, "verdict": e.Verdict.String(),
		"reason": string(e.Reason), "after": e.RetryAfter.String(), "cause": e.Error(),
	}
	if name := c.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	c.server.options.Logger.Log(event.RequestRefused, fields)
	return c.refuse(ex.request, e)
}

// requirement returns how current the data of a request must be: the position of the session's token and the maximum age
// of the route's allowance. For a read without a position in the token it first asks the endpoints for a barrier, a
// position that includes every commit confirmed so far.
func (c *caller) requirement(ex *execution) (session.Requirement, error) {
	name := c.route.Database
	if !ex.write && !c.positionKnown[name] {
		c.server.counters.barriers.Inc()
		answer, err := c.server.databases.queryDatabase(c.server.ctx, name, ex.endpoints)
		if err != nil || !answer.ok {
			c.server.options.Logger.Log(event.BarrierFailed, log.Fields{"database": name, "caller": c.name})
			return session.Requirement{}, verdict.New(verdict.NotRun, verdict.Unreachable, "no majority of the endpoints of database %s answered", name)
		}
		c.positionKnown[name] = true
		c.token = c.token.With(name, answer.barrier)
		c.server.options.Logger.Log(event.BarrierTaken, log.Fields{"database": name, "position": answer.barrier.String()})
	}
	position, _ := c.token.Position(name)
	allowance, _ := c.server.options.Catalogs.Catalog().Allowance(ex.route.Allowance)
	return session.Requirement{Position: position, MaxAge: allowance.Age.Std()}, nil
}

// chooseEndpoint returns the best endpoint that was not tried yet. If none is known before the first try, it asks all
// endpoints for their status and chooses again.
func (c *caller) chooseEndpoint(ex *execution, required session.Requirement) (route.Candidate, bool) {
	o := c.server.options
	state := c.server.databases.getOrCreate(c.route.Database)
	request := route.Request{
		Write:       ex.write,
		Replicas:    c.route.Reads == config.ReadsReplica,
		Domain:      o.Domain,
		Salt:        c.salt(),
		Requirement: required,
		Tried:       ex.tried,
	}
	candidates := route.Choose(request, ex.endpoints, state.snapshot(), o.Clock.Now())
	if len(candidates) == 0 && len(ex.tried) == 0 {
		_, _ = c.server.databases.queryDatabase(c.server.ctx, c.route.Database, ex.endpoints)
		candidates = route.Choose(request, ex.endpoints, state.snapshot(), o.Clock.Now())
	}
	if len(candidates) == 0 {
		o.Logger.Log(event.NoEndpointAvailable, log.Fields{"route": c.route.Name, "write": ex.write, "tried": len(ex.tried)})
		return route.Candidate{}, false
	}
	return candidates[0], true
}

// salt returns bytes of the process ID, which spread sessions over equally good endpoints.
func (c *caller) salt() string {
	return string([]byte{byte(c.processID), byte(c.processID >> 8), byte(c.processID >> 16)})
}

// tryEndpoint sends the request to the owner of one endpoint and relays the answer to the caller.
func (c *caller) tryEndpoint(ex *execution, candidate route.Candidate, required session.Requirement) error {
	o := c.server.options
	e := candidate.Endpoint
	o.Logger.Log(event.EndpointChosen, log.Fields{
		"caller": c.name, "route": ex.route.Name, "endpoint": e.Name, "write": ex.write, "why": candidate.Rule, "token": required.Position.String(),
	})
	ctx, cancel := context.WithCancel(c.server.ctx)
	stream, err := o.Owners.Open(ctx, e)
	if err != nil {
		cancel()
		o.OnOwnerUnreachable(e)
		c.avoid(e)
		return err
	}
	id := c.server.nextTransactionID()
	c.running.Store(&runningTransaction{id: id, endpoint: e})
	if err := stream.Send(&wire.Frame{Body: &wire.Frame_Open{Open: c.openRequest(ex, e, required, id)}}); err != nil {
		_ = stream.Close()
		cancel()
		return c.brokenStream(ex.write, err)
	}
	c.stream, c.cancelStream, c.placement = stream, cancel, placement{endpoint: e, write: ex.write}
	return c.relayFirst(ex)
}

func (c *caller) avoid(e config.Endpoint) {
	until := c.server.options.Clock.Now().Add(avoidDuration)
	c.server.databases.getOrCreate(c.route.Database).avoid(e.Name, until)
}

func (c *caller) openRequest(ex *execution, e config.Endpoint, required session.Requirement, id uint64) *wire.Open {
	return &wire.Open{
		Endpoint: e.Name,
		Route:    ex.route.Name,
		Write:    ex.write,
		Token:    peer.ToPosition(required.Position),
		Age:      peer.Micros(required.MaxAge),
		Deadline: peer.Micros(ex.deadline.Sub(c.server.options.Clock.Now())),
		Patience: peer.Micros(catchUpTimeout),
		Settings: c.wireSettings(),
		Request:  ex.request.wire,
		Id:       id,
	}
}

// executeInTransaction sends the next request of an open transaction.
func (c *caller) executeInTransaction(r *request) error {
	now := c.server.options.Clock.Now()
	catalog := c.server.options.Catalogs.Catalog()
	ex := &execution{request: r, write: c.placement.write, started: now, deadline: now.Add(c.requestTimeout(catalog))}
	r.wire.Ends = r.synced && slices.Contains([]class{classCommit, classRollback}, r.class)
	last, err := c.exchange(ex)
	if err != nil {
		c.closeStream()
		c.server.inflight.Add(-1)
		return c.failTransaction(ex, err)
	}
	c.applyResponse(last)
	if c.stream == nil {
		c.server.inflight.Add(-1)
	}
	return c.writer.Flush()
}

// exchange sends a request on the open stream and relays the answer.
func (c *caller) exchange(ex *execution) (*wire.Response, error) {
	if err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Request{Request: ex.request.wire}}); err != nil {
		return nil, c.brokenStream(ex.write, err)
	}
	return c.relay(ex)
}

// failTransaction answers a request whose transaction was lost. A transaction has no effect until COMMIT is sent, so
// only a failed COMMIT may have run.
func (c *caller) failTransaction(ex *execution, err error) error {
	e := verdict.From(err)
	commits := ex.request.class == classCommit || ex.request.multiStatement
	if c.status == statusTransaction && !commits && e.Verdict == verdict.MayHaveRun {
		e = verdict.New(verdict.NotRun, e.Reason, "transaction was lost before its commit: %s", e.Message).WithRetryAfter(e.RetryAfter).WithCause(e.Cause)
	}
	if commits {
		c.status = statusIdle
	} else if c.status == statusTransaction {
		c.status = statusFailed
	}
	return c.reportFailure(ex, e)
}
