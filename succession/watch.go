package succession

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/statement"
)

// watch observes an endpoint other than the target while a promotion may be outstanding. It is the business of one goroutine.
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

// startWatches starts the watches of the old primary and of all replicas but the target. Their commands end with parent.
func (r *runner) startWatches(parent context.Context) {
	r.promotingSince = r.coordinator.options.Clock.Now()
	g := r.succession.guard()
	for _, e := range r.watchedMembers(g) {
		ctx, cancel := context.WithCancel(parent)
		w := &watch{endpoint: e, cancel: cancel, done: make(chan struct{})}
		r.watches = append(r.watches, w)
		r.running.Go(func() {
			defer close(w.done)
			r.watchEndpoint(ctx, parent, w, g)
		})
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

// stopWatch ends the watch of an endpoint, if it has one.
func (r *runner) stopWatch(name string) {
	for _, w := range r.watches {
		if w.endpoint.Name == name {
			w.stop()
		}
	}
}

// cancelWatches ends all watches without waiting for them.
func (r *runner) cancelWatches() {
	for _, w := range r.watches {
		w.cancel()
	}
}

// watchEndpoint probes an endpoint until ctx ends and logs when its hold has ended or it leads.
func (r *runner) watchEndpoint(ctx, parent context.Context, w *watch, g guard) {
	o := r.coordinator.options
	before := silent
	for ctx.Err() == nil {
		probedAt := o.Clock.Now()
		result := r.coordinator.prober.query(parent, w.endpoint, statement.ProxyStep(statement.Status), probeTimeout)
		found, pause := silent, commandRetryInterval
		if result.Status != nil {
			found, pause = g.inspect(w.endpoint.Name, *result.Status), targetPollInterval
		}
		w.last.Store(found)
		if found != before && (found == holdEnded || found == leads) {
			w.ended.Add(1)
			r.logFinding(w.endpoint, g, found, *result.Status, probedAt)
		}
		before = found
		_ = clock.Wait(ctx, o.Clock, pause)
	}
}

func (r *runner) logFinding(e config.Endpoint, g guard, found finding, status endpoint.PlatformStatus, probedAt time.Time) {
	o := r.coordinator.options
	now := o.Clock.Now()
	what := event.HoldEnded
	if found == leads {
		what = event.OldPrimaryLeads
	}
	o.Logger.Log(what, log.Fields{
		"database": r.database.Name(), "endpoint": e.Name, "target": g.target, "term": uint64(g.plan.Term), "fence": g.plan.Fence,
		"held": uint64(status.Held), "log": status.Log.String(), "logs": g.logs(), "since": now.Sub(r.promotingSince).String(),
		"age": now.Sub(probedAt).String(), "found": string(found),
	})
}

// watched returns what the last answers of the other endpoints told, and how often a hold had ended or one led, as text.
func (r *runner) watched() string {
	out := make([]string, 0, len(r.watches))
	for _, w := range r.watches {
		last, _ := w.last.Load().(finding)
		out = append(out, fmt.Sprintf("%s=%s/%d", w.endpoint.Name, cmp.Or(last, silent), w.ended.Load()))
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
