package succession

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/statement"
)

const (
	// holdLimit bounds the phase in which replicas are held, during which no commit is acknowledged.
	holdLimit = 700 * time.Millisecond
	// promoteLimit bounds the wait for a promotion, which the platform may carry out some seconds late.
	promoteLimit = 15 * time.Second
	// orderTimeout is how long the platform's answer to one order is waited for, and orderRetry the pause before the order
	// is repeated.
	orderTimeout = 800 * time.Millisecond
	orderRetry   = 100 * time.Millisecond
	// leadInterval is how often the chosen endpoint is asked whether it leads.
	leadInterval = 40 * time.Millisecond
	eventQueue   = 16
	// confirmRetry is the pause before a replica without a free slot is asked again.
	confirmRetry = 10 * time.Millisecond
	// resumeTries is how often an endpoint without a free slot is told to receive again.
	resumeTries = 10
	// orderAge is how old holds may be when the first order is given: well below the time after which other coordinators
	// take them for forgotten, which a suspension of this machine may have used up.
	orderAge = 1200 * time.Millisecond
)

// run drives one succession.
type run struct {
	coordinator *Coordinator
	database    *database.Database
	members     []config.Endpoint
	succession  Succession
	started     time.Time
	running     sync.WaitGroup
}

// conduct gives the succession's orders and feeds it what comes of them until it ends.
func (r *run) conduct(ctx context.Context) {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer r.running.Wait()
	defer cancel()
	o := r.coordinator.options
	r.started = o.Clock.Now()
	events := make(chan Event, eventQueue)
	r.give(ctx, r.succession.Start(), events)
	limit := o.Clock.After(holdLimit)
	for r.succession.Phase() < Done {
		before := r.succession.Phase()
		var e Event
		select {
		case <-ctx.Done():
			return
		case e = <-events:
		case <-limit:
			e = Timeout{}
		}
		actions := r.take(e)
		if r.succession.Phase() >= Done {
			r.resume(outer, actions)
			break
		}
		if before < Promoting && r.succession.Phase() == Promoting {
			limit = o.Clock.After(promoteLimit)
			target := r.succession.Target()
			r.running.Go(func() { r.watchTarget(ctx, target, events) })
		}
		r.give(ctx, actions, events)
	}
	r.conclude(o.Clock.Now().Sub(r.started))
}

// take hands an event to the succession and returns the orders that follow. Holds that are too old when the first order
// would be given may have been released as forgotten, so there is none.
func (r *run) take(e Event) []Action {
	before := r.succession.Phase()
	next, actions := r.succession.Handle(e)
	if before < Promoting && next.Phase() == Promoting && r.coordinator.options.Clock.Now().Sub(r.started) > orderAge {
		next, actions = next.Handle(Timeout{})
	}
	r.succession = next
	return actions
}

func (r *run) conclude(took time.Duration) {
	o := r.coordinator.options
	plan := r.succession.Plan()
	fields := log.Fields{
		"database": r.database.Name(), "term": uint64(plan.Term), "fence": plan.Fence, "endpoint": r.succession.Target(),
		"took": took.String(),
	}
	if r.succession.Phase() == Done {
		o.Logger.Log(event.SuccessionDone, fields)
		o.Announce(r.database.Name())
		return
	}
	fields["why"] = r.succession.StopReason()
	o.Logger.Log(event.SuccessionStopped, fields)
}

func (r *run) member(name string) (config.Endpoint, bool) {
	for _, e := range r.members {
		if e.Name == name {
			return e, true
		}
	}
	return config.Endpoint{}, false
}

func (r *run) give(ctx context.Context, actions []Action, events chan<- Event) {
	for _, a := range actions {
		e, ok := r.member(a.Endpoint)
		if !ok {
			continue
		}
		switch a.Command {
		case Hold:
			r.running.Go(func() { r.hold(ctx, e, events) })
		case Confirm:
			r.running.Go(func() { r.confirm(ctx, e, events) })
		case Demote:
			r.running.Go(func() { r.demote(ctx, e, events) })
		case Promote:
			r.running.Go(func() { r.promote(ctx, e, events) })
		}
	}
}

// hold repeats the order until the endpoint is held under the succession's term. A hold of another succession is told and
// not replaced, unless that counts as forgotten.
func (r *run) hold(ctx context.Context, e config.Endpoint, events chan<- Event) {
	c := r.coordinator
	plan := r.succession.Plan()
	step := statement.Own(statement.Hold)
	step.Term = plan.Term
	for ctx.Err() == nil {
		sight := c.probe.ask(ctx, e, statement.Own(statement.Status), askTimeout)
		if sight.Standing != nil && sight.Standing.Role == endpoint.Replica && (plan.Contested || sight.Standing.Held == 0) {
			sight = c.probe.ask(ctx, e, step, askTimeout)
		}
		if sight.Standing != nil {
			send(ctx, events, Reply{Endpoint: e.Name, Standing: *sight.Standing})
			if sight.Standing.Held != 0 {
				return
			}
		}
		_ = clock.Wait(ctx, c.options.Clock, confirmRetry)
	}
}

// confirm asks a held replica until it answers whether it still is.
func (r *run) confirm(ctx context.Context, e config.Endpoint, events chan<- Event) {
	c := r.coordinator
	for ctx.Err() == nil {
		sight := c.probe.ask(ctx, e, statement.Own(statement.Status), askTimeout)
		if sight.Standing != nil {
			send(ctx, events, Reply{Endpoint: e.Name, Confirms: true, Standing: *sight.Standing})
			return
		}
		_ = clock.Wait(ctx, c.options.Clock, confirmRetry)
	}
}

// demote repeats the order until the lost primary is a replica.
func (r *run) demote(ctx context.Context, e config.Endpoint, events chan<- Event) {
	c := r.coordinator
	step := statement.Own(statement.Demote)
	step.Term = r.succession.Plan().Term
	for ctx.Err() == nil {
		sight := c.probe.ask(ctx, e, step, askTimeout)
		if sight.Standing != nil {
			send(ctx, events, Reply{Endpoint: e.Name, Standing: *sight.Standing})
			if sight.Standing.Role == endpoint.Replica {
				return
			}
		}
		_ = clock.Wait(ctx, c.options.Clock, confirmRetry)
	}
}

func send(ctx context.Context, events chan<- Event, e Event) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}

// promote gives the order once and tells what the platform made of it.
func (r *run) promote(ctx context.Context, e config.Endpoint, events chan<- Event) {
	o := r.coordinator.options
	plan := r.succession.Plan()
	fields := func() log.Fields {
		return log.Fields{"database": r.database.Name(), "endpoint": e.Name, "fence": plan.Fence, "term": uint64(plan.Term)}
	}
	o.Logger.Log(event.PromotionOrdered, fields())
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.Promoter.Promote(call, r.database.Name(), e.Name, plan.Fence)
	if ctx.Err() != nil {
		return
	}
	failed := fields()
	if err != nil {
		failed["error"] = err.Error()
	}
	switch {
	case err == nil:
		send(ctx, events, PromotionResult{Outcome: Accepted})
		return
	case errors.Is(err, ErrRefused):
		o.Logger.Log(event.PromotionRefused, failed)
		send(ctx, events, PromotionResult{Outcome: Refused})
		return
	case errors.Is(err, ErrBusy):
		o.Logger.Log(event.PromotionUnknown, failed)
		_ = clock.Wait(ctx, o.Clock, orderRetry)
		send(ctx, events, PromotionResult{Outcome: Retryable})
	default:
		o.Logger.Log(event.PromotionUnknown, failed)
		_ = clock.Wait(ctx, o.Clock, orderRetry)
		send(ctx, events, PromotionResult{Outcome: Unknown})
	}
}

// watchTarget asks the chosen endpoint until it leads.
func (r *run) watchTarget(ctx context.Context, name string, events chan<- Event) {
	e, _ := r.member(name)
	c := r.coordinator
	for ctx.Err() == nil {
		asked := c.options.Clock.Now()
		sight := c.probe.ask(ctx, e, statement.Own(statement.Status), askTimeout)
		if sight.Standing != nil {
			if sight.Standing.Role == endpoint.Primary {
				r.database.Led(name, sight.Standing.Log, asked)
			}
			send(ctx, events, Reply{Endpoint: name, Standing: *sight.Standing})
		}
		_ = clock.Wait(ctx, c.options.Clock, leadInterval)
	}
}

// resume releases the replicas that this succession holds, and no others.
func (r *run) resume(ctx context.Context, actions []Action) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, a := range actions {
		e, ok := r.member(a.Endpoint)
		if a.Command == Resume && ok {
			wait.Go(func() { r.resumeOne(ctx, e) })
		}
	}
}

func (r *run) resumeOne(ctx context.Context, e config.Endpoint) {
	c := r.coordinator
	for range resumeTries {
		sight := c.probe.ask(ctx, e, statement.Own(statement.Status), askTimeout)
		switch {
		case sight.Standing != nil && sight.Standing.Held != r.succession.Plan().Term:
			return
		case sight.Standing != nil && c.release(ctx, e):
			return
		case !sight.Answered:
			return
		}
		_ = clock.Wait(ctx, c.options.Clock, leadInterval)
	}
}
