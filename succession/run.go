package succession

import (
	"context"
	"maps"
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
	// holdTimeout bounds the phases before the promotion, in which replicas are held and commits are not acknowledged.
	holdTimeout = 700 * time.Millisecond
	// promoteTimeout bounds the wait for a promotion, which the platform may carry out with a delay of some seconds.
	promoteTimeout = 15 * time.Second
	// promoteCallTimeout bounds one promotion request to the platform; promoteRetryInterval is the pause before it is
	// repeated.
	promoteCallTimeout   = 800 * time.Millisecond
	promoteRetryInterval = 100 * time.Millisecond
	// targetPollInterval is the pause between two probes of the promoted endpoint until it leads, and between two attempts
	// to release a hold.
	targetPollInterval = 40 * time.Millisecond
	eventBuffer        = 16
	// commandRetryInterval is the pause before a command or probe is repeated, as when an endpoint has no free slot.
	commandRetryInterval = 10 * time.Millisecond
	// catchUpTime is how long a replica may take to receive what the old primary had sent before its demotion.
	catchUpTime = 100 * time.Millisecond
	// releaseAttempts is how many times the release of a hold is tried at an endpoint without a free slot.
	releaseAttempts = 10
	// maxHoldAge is how old the holds, or their confirmation, may be at a promotion request. It is well below Timing.HoldTimeout, after
	// which other coordinators release them; a suspension of this machine may have used up that time.
	maxHoldAge = 1200 * time.Millisecond
)

// runner carries out one succession.
type runner struct {
	coordinator *Coordinator
	database    *database.Database
	members     []config.Endpoint
	succession  Succession
	// plan is the plan of the succession; the goroutines of commands read it.
	plan Plan
	// confirmingSince is when the phases began that end with all holds confirmed, and promoteUntil the end of the wait for the
	// promotion.
	confirmingSince time.Time
	promoteUntil    time.Time
	// announced is closed when the announcement of the promotion has been answered, nil before the announcement.
	announced <-chan struct{}
	// events are the succession's events.
	events  chan Event
	running sync.WaitGroup
}

// run executes the succession's actions and feeds it their results until it ends.
func (r *runner) run(ctx context.Context) {
	parent := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer r.running.Wait()
	defer cancel()
	o := r.coordinator.options
	started := o.Clock.Now()
	r.confirmingSince = started
	events := make(chan Event, eventBuffer)
	r.events = events
	r.execute(ctx, r.succession.Start(), events)
	timeout := o.Clock.After(holdTimeout)
	for r.succession.Phase() < Done {
		before := r.succession.Phase()
		var e Event
		select {
		case <-ctx.Done():
			return
		case e = <-events:
		case <-timeout:
			e = Timeout{}
		}
		actions := r.handle(e)
		r.shareYield()
		if r.succession.Phase() >= Done {
			r.settleWatches()
			r.tellEnd(ctx)
			r.releaseHolds(parent, actions)
			break
		}
		if before == Holding && r.succession.Phase() == Confirming {
			r.announceRequest()
		}
		if phase := r.succession.Phase(); phase != before && phase >= Promoting {
			timeout = o.Clock.After(r.beginPhase(ctx, parent, phase, events))
		}
		r.execute(ctx, actions, events)
	}
	r.finish(o.Clock.Now().Sub(started))
}

// beginPhase records the beginning of a phase from Promoting on and returns its time limit. The target is probed from the first
// promotion request on.
func (r *runner) beginPhase(ctx, parent context.Context, phase Phase, events chan<- Event) time.Duration {
	now := r.coordinator.options.Clock.Now()
	if phase == Reconfirming {
		r.confirmingSince = now
		return holdTimeout
	}
	if r.promoteUntil.IsZero() {
		r.promoteUntil = now.Add(promoteTimeout)
		target := r.succession.Target()
		r.running.Go(func() { r.pollTarget(ctx, target, events) })
		r.startWatches(parent)
	}
	return r.promoteUntil.Sub(now)
}

// handle passes an event to the succession and returns the resulting actions. If maxHoldAge has passed since the holds were
// taken or confirmed again when the promotion would be requested, other coordinators may have released them as abandoned, so
// the succession is ended.
func (r *runner) handle(e Event) []Action {
	before := r.succession.Phase()
	next, actions := r.succession.Handle(e)
	if before != Promoting && next.Phase() == Promoting && r.coordinator.options.Clock.Now().Sub(r.confirmingSince) > maxHoldAge {
		next, actions = r.succession.Handle(Timeout{})
	}
	r.succession = next
	return actions
}

// watched returns what the watches of the promotion have found, empty if none was requested.
func (r *runner) watched() string {
	if r.promoteUntil.IsZero() {
		return ""
	}
	return r.coordinator.watches.findings()
}

// finish logs the outcome.
func (r *runner) finish(took time.Duration) {
	o := r.coordinator.options
	plan := r.plan
	fields := log.Fields{
		"database": r.database.Name(), "term": uint64(plan.Term), "fence": plan.Fence, "endpoint": r.succession.Target(),
		"took": took.String(), "watched": r.watched(),
	}
	maps.Copy(fields, r.evidence())
	if r.succession.Phase() == Done {
		o.Logger.Log(event.SuccessionDone, fields)
		return
	}
	fields["why"] = r.succession.StopReason()
	o.Logger.Log(event.SuccessionStopped, fields)
}

func (r *runner) member(name string) (config.Endpoint, bool) {
	for _, e := range r.members {
		if e.Name == name {
			return e, true
		}
	}
	return config.Endpoint{}, false
}

func (r *runner) execute(ctx context.Context, actions []Action, events chan<- Event) {
	for _, a := range actions {
		e, ok := r.member(a.Endpoint)
		if !ok {
			continue
		}
		switch a.Command {
		case Hold:
			end := r.succession.end
			r.running.Go(func() { r.hold(ctx, e, end, events) })
		case Confirm:
			announced := r.announced
			r.running.Go(func() { r.confirm(ctx, e, announced, events) })
		case Demote:
			r.running.Go(func() { r.demote(ctx, e, events) })
		case Promote:
			evidence := r.evidence()
			r.running.Go(func() { r.promote(ctx, e, evidence, events) })
		}
	}
}

// hold repeats the command until the endpoint is held. A hold of another succession is reported and left in place, unless
// the plan is contested, that is, the other succession counts as abandoned. A replica that lacks the end of a demoted primary's log gets
// catchUpTime to receive what is under way.
func (r *runner) hold(ctx context.Context, e config.Endpoint, end endpoint.Position, events chan<- Event) {
	c := r.coordinator
	plan := r.plan
	started := c.options.Clock.Now()
	step := statement.ProxyStep(statement.Hold)
	step.Term = plan.Term
	for ctx.Err() == nil {
		result := c.prober.query(ctx, e, statement.ProxyStep(statement.Status), probeTimeout)
		if result.Status != nil && !plan.Unreplicated && !result.Status.Log.Covers(end) && c.options.Clock.Now().Sub(started) < catchUpTime {
			_ = clock.Wait(ctx, c.options.Clock, commandRetryInterval)
			continue
		}
		if result.Status != nil && result.Status.Role == endpoint.Replica && (plan.Contested || result.Status.Held == 0) {
			result = c.prober.query(ctx, e, step, probeTimeout)
		}
		if result.Status != nil {
			send(ctx, events, Reply{Endpoint: e.Name, Status: *result.Status})
			if result.Status.Held != 0 {
				return
			}
		}
		_ = clock.Wait(ctx, c.options.Clock, commandRetryInterval)
	}
}

// confirm probes a held replica until it answers, and waits until the other instances have told what they know to be acknowledged.
func (r *runner) confirm(ctx context.Context, e config.Endpoint, announced <-chan struct{}, events chan<- Event) {
	c := r.coordinator
	for ctx.Err() == nil {
		result := c.prober.query(ctx, e, statement.ProxyStep(statement.Status), probeTimeout)
		if result.Status != nil {
			r.awaitAnnouncement(ctx, announced)
			acknowledged := r.database.View().Acknowledged(c.options.Clock.Now())
			send(ctx, events, Reply{Endpoint: e.Name, Confirms: true, Acknowledged: acknowledged, Status: *result.Status})
			return
		}
		_ = clock.Wait(ctx, c.options.Clock, commandRetryInterval)
	}
}

// demote repeats the command until the old primary is a replica.
func (r *runner) demote(ctx context.Context, e config.Endpoint, events chan<- Event) {
	c := r.coordinator
	step := statement.ProxyStep(statement.Demote)
	step.Term = r.plan.Term
	for ctx.Err() == nil {
		result := c.prober.query(ctx, e, step, probeTimeout)
		if result.Status != nil {
			send(ctx, events, Reply{Endpoint: e.Name, Status: *result.Status})
			if result.Status.Role == endpoint.Replica {
				return
			}
		}
		_ = clock.Wait(ctx, c.options.Clock, commandRetryInterval)
	}
}

func send(ctx context.Context, events chan<- Event, e Event) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}

// evidence returns what the choice of the endpoint to be promoted rests on: the ends of the held logs, the end of the demoted primary's
// log, and the highest position known to have been acknowledged.
func (r *runner) evidence() log.Fields {
	s := r.succession
	fields := log.Fields{"logs": s.guard().logs(), "acknowledged": s.acknowledged.String()}
	if s.ended {
		fields["end"] = s.end.String()
	}
	return fields
}

// promote sends the promotion request once and reports the platform's answer. evidence is logged with it.
func (r *runner) promote(ctx context.Context, e config.Endpoint, evidence log.Fields, events chan<- Event) {
	o := r.coordinator.options
	plan := r.plan
	fields := func() log.Fields {
		out := log.Fields{"database": r.database.Name(), "endpoint": e.Name, "fence": plan.Fence, "term": uint64(plan.Term)}
		maps.Copy(out, evidence)
		return out
	}
	o.Logger.Log(event.PromotionRequested, fields())
	call, cancel := context.WithTimeout(ctx, promoteCallTimeout)
	defer cancel()
	err := r.coordinator.requestPromotion(call, r.database, e.Name, plan.Fence)
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
		_ = clock.Wait(ctx, o.Clock, promoteRetryInterval)
		send(ctx, events, PromotionResult{Outcome: Retryable})
	default:
		o.Logger.Log(event.PromotionUnknown, failed)
		_ = clock.Wait(ctx, o.Clock, promoteRetryInterval)
		send(ctx, events, PromotionResult{Outcome: Unknown})
	}
}

// pollTarget probes the promoted endpoint until the succession ends.
func (r *runner) pollTarget(ctx context.Context, name string, events chan<- Event) {
	e, _ := r.member(name)
	c := r.coordinator
	for ctx.Err() == nil {
		probedAt := c.options.Clock.Now()
		result := c.prober.query(ctx, e, statement.ProxyStep(statement.Status), probeTimeout)
		if result.Status != nil {
			if result.Status.Role == endpoint.Primary {
				r.database.RecordLead(name, result.Status.Log, probedAt)
			}
			send(ctx, events, Reply{Endpoint: name, Status: *result.Status})
		}
		_ = clock.Wait(ctx, c.options.Clock, targetPollInterval)
	}
}

// releaseHolds carries out the Resume actions. It releases only holds of this succession.
func (r *runner) releaseHolds(ctx context.Context, actions []Action) {
	var wait sync.WaitGroup
	defer wait.Wait()
	for _, a := range actions {
		e, ok := r.member(a.Endpoint)
		if a.Command == Resume && ok {
			wait.Go(func() { r.releaseHold(ctx, e) })
		}
	}
}

func (r *runner) releaseHold(ctx context.Context, e config.Endpoint) {
	r.coordinator.watches.stop(e.Name)
	r.coordinator.releaseHold(ctx, e, r.plan.Term)
}
