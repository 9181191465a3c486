package succession

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/database"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/group"
	"siskincove/statement"
)

// watches guard an outstanding promotion: they observe the endpoints other than the target from the first request until the
// target leads, and act on what they find. They outlast a succession that stops while its promotion may still take effect.
type watches struct {
	coordinator *Coordinator
	database    *database.Database
	guard       guard
	since       time.Time
	mu          sync.Mutex
	all         []*watch
	// followed is closed once no further watch is added.
	followed chan struct{}
	// mayYield is set while the succession may stop for its old primary, whose lead is reported to events.
	mayYield atomic.Bool
	events   chan<- Event
	// cancel ends all watches without waiting for them.
	cancel context.CancelFunc
}

// watch observes an endpoint. It is the business of one goroutine.
type watch struct {
	endpoint config.Endpoint
	// cancel ends the goroutine, and done is closed when it has ended.
	cancel context.CancelFunc
	done   chan struct{}
	// last is what the endpoint's last answer told, and ended counts how often its hold had ended or it led.
	last  atomic.Value
	ended atomic.Int64
}

// stop ends the watch and waits for its last command.
func (w *watch) stop() {
	w.cancel()
	<-w.done
}

// startWatches starts the watches of the succession's promotion; those of an earlier one end. Their commands end with ctx.
func (r *runner) startWatches(ctx context.Context) {
	c := r.coordinator
	c.watches.end()
	watching, cancel := context.WithTimeout(ctx, promoteTimeout)
	w := &watches{
		coordinator: c, database: r.database, guard: r.succession.guard(), since: c.options.Clock.Now(), followed: make(chan struct{}), cancel: cancel, events: r.events,
	}
	c.watches = w
	w.mayYield.Store(r.succession.mayYield())
	w.add(watching, ctx, r.watchedMembers(w.guard))
	go w.follow(watching, ctx)
}

// add starts watches of endpoints. A watch looks at what the others have found, so that all exist before the first starts.
func (w *watches) add(ctx, parent context.Context, endpoints []config.Endpoint) {
	var starts []func()
	w.mu.Lock()
	for _, e := range endpoints {
		watching, cancel := context.WithCancel(ctx)
		one := &watch{endpoint: e, cancel: cancel, done: make(chan struct{})}
		w.all = append(w.all, one)
		starts = append(starts, func() { w.observe(watching, parent, one) })
	}
	w.mu.Unlock()
	for _, start := range starts {
		go start()
	}
}

// follow watches endpoints that are registered later too, such as the old primary under another name, until ctx ends.
func (w *watches) follow(ctx, parent context.Context) {
	defer close(w.followed)
	for clock.Wait(ctx, w.coordinator.options.Clock, targetPollInterval) == nil {
		members, _ := w.coordinator.group()
		known := w.list()
		w.add(ctx, parent, slices.DeleteFunc(slices.Clone(members), func(e config.Endpoint) bool {
			return e.Name == w.guard.target || slices.ContainsFunc(known, func(one *watch) bool { return one.endpoint.Name == e.Name })
		}))
	}
}

// list returns the watches that exist.
func (w *watches) list() []*watch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.all)
}

// settleWatches ends the watches unless the promotion may still take effect.
func (r *runner) settleWatches() {
	if !r.succession.guards() {
		r.coordinator.watches.cancelAll()
	}
}

// cancelAll ends the watches without waiting for them.
func (w *watches) cancelAll() {
	if w != nil {
		w.cancel()
	}
}

// end ends the watches and waits for their last commands.
func (w *watches) end() {
	if w == nil {
		return
	}
	w.cancel()
	<-w.followed
	for _, one := range w.list() {
		<-one.done
	}
}

// stop ends the watch of an endpoint, if it has one, and waits for its last command.
func (w *watches) stop(name string) {
	if w == nil {
		return
	}
	for _, one := range w.list() {
		if one.endpoint.Name == name {
			one.stop()
		}
	}
}

// watchedMembers returns the endpoints that the promotion concerns, except the target. The old primary may have departed.
func (r *runner) watchedMembers(g guard) []config.Endpoint {
	var out []config.Endpoint
	for _, e := range r.members {
		if e.Name != g.target {
			out = append(out, e)
		}
	}
	if _, registered := r.member(g.plan.OldPrimary); registered {
		return out
	}
	for _, d := range r.database.Departures() {
		if d.Endpoint.Name == g.plan.OldPrimary {
			return append(out, d.Endpoint)
		}
	}
	return out
}

// observe probes an endpoint until ctx ends. It demotes a former primary that leads and takes holds that have ended again. Its
// commands end with parent, so that none is carried out after the release of a hold. All watches end once another endpoint is known to lead
// or the promotion was told to have ended.
func (w *watches) observe(ctx, parent context.Context, one *watch) {
	defer close(one.done)
	o := w.coordinator.options
	before := silent
	// leadsSince is when the endpoint was first seen to lead.
	var leadsSince time.Time
	for ctx.Err() == nil {
		probedAt := o.Clock.Now()
		result := w.coordinator.prober.query(parent, one.endpoint, statement.ProxyStep(statement.Status), probeTimeout)
		found := silent
		if result.Status != nil {
			found = w.guard.inspect(one.endpoint.Name, *result.Status)
		}
		one.last.Store(found)
		after := found
		command, ok := w.guard.command(found)
		if found == leads && leadsSince.IsZero() {
			leadsSince = probedAt
		}
		if found == leads && w.spares(one.endpoint.Name, leadsSince) {
			w.report(Reply{Endpoint: one.endpoint.Name, Status: *result.Status})
			ok = false
		}
		switch {
		case !w.outstanding():
			// Another coordinator has told of the end.
			w.cancel()
			return
		case w.settled() || found == succeeded:
			w.close()
			return
		case ok && ctx.Err() == nil:
			after = w.send(parent, one.endpoint, command)
		}
		if found != before && (found == holdEnded || found == leads) {
			one.ended.Add(1)
			w.log(one.endpoint, found, after, *result.Status, probedAt)
		}
		pause := targetPollInterval
		if after == silent || after == leads || after == holdEnded {
			pause = commandRetryInterval
		}
		before = after
		_ = clock.Wait(ctx, o.Clock, pause)
	}
}

// spares reports whether an endpoint that has led again since a time is left alone, as its succession is about to stop for it. That ends
// once a replica is not seen to be held.
func (w *watches) spares(name string, since time.Time) bool {
	now := w.coordinator.options.Clock.Now()
	plan := w.guard.plan
	if !w.mayYield.Load() || plan.hasReplica(name) || now.Sub(since) >= yieldTime || w.database.View().IsOtherOutstanding(plan.Fence, now) {
		return false
	}
	for _, one := range w.list() {
		last, _ := one.last.Load().(finding)
		// Nothing answers under the former name of an endpoint that has another one.
		formerName := one.endpoint.Name == plan.OldPrimary && last == silent
		if one.endpoint.Name != name && !formerName && (last != held || one.ended.Load() > 0) {
			return false
		}
	}
	return true
}

// report passes a reply to the succession; one that does not fit is repeated by the next probe.
func (w *watches) report(r Reply) {
	select {
	case w.events <- r:
	default:
	}
}

// close ends the watches, and records that the promotion can't take effect any more. Heartbeats tell the others.
func (w *watches) close() {
	w.cancel()
	plan := w.guard.plan
	w.database.RecordPromotion(group.Promotion{
		Fence: plan.Fence, Term: plan.Term, Newest: plan.Floor.Term, Replaced: plan.OldPrimary, Target: w.guard.target,
		Ended: true, Settled: true, At: w.coordinator.options.Clock.Now(),
	})
}

// outstanding reports whether the promotion may still take effect, as far as this instance has been told.
func (w *watches) outstanding() bool {
	return w.database.View().IsOutstanding(w.guard.plan.Fence, w.coordinator.options.Clock.Now())
}

// settled reports whether an endpoint that the promotion does not replace has been proved to lead since the request.
func (w *watches) settled() bool {
	lead, known := w.database.View().Lead()
	return known && !lead.Claimed && lead.At.After(w.since) && w.guard.succeededBy(lead.Endpoint, lead.Term)
}

// send sends a command to an endpoint and returns what its answer tells.
func (w *watches) send(ctx context.Context, e config.Endpoint, command Command) finding {
	step := statement.ProxyStep(statement.Hold)
	if command == Demote {
		step = statement.ProxyStep(statement.Demote)
	}
	step.Term = w.guard.plan.Term
	result := w.coordinator.prober.query(ctx, e, step, probeTimeout)
	if result.Status == nil {
		return silent
	}
	return w.guard.inspect(e.Name, *result.Status)
}

func (w *watches) log(e config.Endpoint, found, after finding, status endpoint.PlatformStatus, probedAt time.Time) {
	o := w.coordinator.options
	now := o.Clock.Now()
	what := event.HoldEnded
	if found == leads {
		what = event.OldPrimaryLeads
	}
	o.Logger.Log(what, log.Fields{
		"database": w.database.Name(), "endpoint": e.Name, "target": w.guard.target, "term": uint64(w.guard.plan.Term), "fence": w.guard.plan.Fence,
		"held": uint64(status.Held), "log": status.Log.String(), "logs": w.guard.logs(), "since": now.Sub(w.since).String(),
		"age": now.Sub(probedAt).String(), "found": string(found), "outcome": string(after),
	})
}

// findings returns what the last answers of the endpoints told, and how often a hold had ended or one led, as text.
func (w *watches) findings() string {
	if w == nil {
		return ""
	}
	all := w.list()
	out := make([]string, 0, len(all))
	for _, one := range all {
		last, _ := one.last.Load().(finding)
		out = append(out, fmt.Sprintf("%s=%s/%d", one.endpoint.Name, cmp.Or(last, silent), one.ended.Load()))
	}
	return strings.Join(out, ",")
}

// logs returns the ends of the held logs, as text.
func (g guard) logs() string {
	out := make([]string, 0, len(g.held))
	for _, h := range g.held {
		out = append(out, h.replica.Name+"="+h.log.String())
	}
	return strings.Join(out, ",")
}
