package proof

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"siskincove/soak"
	"siskincove/standin/cluster"
	"siskincove/standin/hosting"
)

// Bounds of the users' pages for configurations.
const (
	// stableWindow is how long the store must have been well before it counts as stable.
	stableWindow = 4 * time.Second
	// applyLimit is within which a version is in force once it has been acknowledged by a stable store.
	applyLimit = 3 * time.Second
	// regressLimit is how long after the first effect of a version requests may still be handled as an older one allows.
	regressLimit = 250 * time.Millisecond
)

// questionInterval is how often each instance is asked each question.
const questionInterval = 250 * time.Millisecond

// change is a version of the configuration as the operator published it.
type change struct {
	version int
	// published is when it was sent to the store, acknowledged when that answered.
	published, acknowledged time.Time
	// service is where the route "moving" leads.
	service string
}

func (c change) route() string { return fmt.Sprintf("version%d", c.version) }

// routeQuestion is a statement on a route in a session of its own, or in one that stays open.
type routeQuestion struct {
	instance       string
	route, id      string
	sent, answered time.Time
	// refused is set if no such route was known, served if the statement succeeded.
	refused, served bool
}

// outageWatch publishes versions of a configuration, asks all instances for routes that these add and drop, and judges the answers.
type outageWatch struct {
	deployment *soak.Deployment
	moved      *hosting.Group
	// keyed is set if callers present keys, whose proofs instances ask the store for.
	keyed bool

	mu        sync.Mutex
	changes   []change
	questions []routeQuestion
	// outages are the times in which the store was disturbed.
	outages []outage
}

// outage is a time in which the store was disturbed; it has no end yet if that is zero.
type outage struct{ start, end time.Time }

// stable reports whether the store counted as stable at a time.
func (w *outageWatch) stable(at time.Time) bool {
	return !slices.ContainsFunc(w.outages, func(o outage) bool {
		return at.After(o.start) && (o.end.IsZero() || at.Before(o.end.Add(stableWindow)))
	})
}

// disturb sets the faults of the store.
func (w *outageWatch) disturb(faults hosting.StoreFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := len(w.outages); n == 0 || !w.outages[n-1].end.IsZero() {
		w.outages = append(w.outages, outage{start: time.Now()})
	}
	w.deployment.Store.SetFaults(faults)
}

// restore clears the faults of the store.
func (w *outageWatch) restore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deployment.Store.SetFaults(hosting.StoreFaults{})
	w.outages[len(w.outages)-1].end = time.Now()
}

// outageConfiguration returns a version that adds a route named after it, drops that of the version before and moves another route
// between two services. If keyed is set, callers have to present a key.
func outageConfiguration(c change, keyed bool) map[string]any {
	out := hosting.Configuration(c.version, c.route())
	moving := map[string]any{"name": "moving", "host": "moving", "type": "primary", "service": c.service, "timeout-ms": 2000, "priority": 1}
	out["routes"] = append(out["routes"].([]map[string]any), moving)
	out["services"] = append(out["services"].([]map[string]any), map[string]any{"name": "h", "max-connections": 60, "sync-replicas": 1})
	if keyed {
		out["tenants"] = []map[string]any{{"name": "blue", "api-keys": []string{soak.AnyKey}, "priority": 1, "rate-per-s": 5000, "burst": 5000}}
	}
	return out
}

// publish writes the next version.
func (w *outageWatch) publish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := change{version: hosting.FirstVersion + 1 + len(w.changes), service: []string{"g", "h"}[len(w.changes)%2]}
	next.published = time.Now()
	w.deployment.Store.Write("op", "config", outageConfiguration(next, w.keyed))
	next.acknowledged = time.Now()
	w.changes = append(w.changes, next)
}

// newest returns the newest change and the one before.
func (w *outageWatch) newest() (change, change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.changes[len(w.changes)-1]
	return newest, change{version: newest.version - 1}
}

func (w *outageWatch) record(q routeQuestion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.questions = append(w.questions, q)
}

// ask asks an instance once on a route, in a session of its own.
func (w *outageWatch) ask(instance int, route, id string) {
	q := routeQuestion{instance: w.deployment.Instances[instance].ID(), route: route, id: id, sent: time.Now()}
	c, err := hosting.DialWithKey(w.deployment.Instances[instance].Callers, route, soak.AnyKey)
	if err == nil {
		var result hosting.Result
		if result, err = c.Query(id, "READ item"); err == nil {
			q.refused, q.served = result.Code == "NODB", result.Code == ""
		}
		c.Close()
	} else {
		q.refused = strings.Contains(err.Error(), "NODB")
	}
	q.answered = time.Now()
	w.record(q)
}

// askInTurn asks an instance until the sessions are stopped: for the route that the newest version adds, for the one that it drops, and for
// the one that moves.
func (w *outageWatch) askInTurn(instance int) {
	kept := keptSession{watch: w, instance: w.deployment.Instances[instance]}
	defer kept.close()
	for n := 0; !w.deployment.Stopped(); n++ {
		time.Sleep(questionInterval)
		newest, before := w.newest()
		for _, route := range []string{newest.route(), before.route(), "moving"} {
			w.ask(instance, route, fmt.Sprintf("n%d-%d-%s", instance, n, route))
		}
		kept.ask(fmt.Sprintf("n%d-%d-kept", instance, n), newest, before)
	}
}

// keptSession is a session that stays open on a route of an instance until that has been dropped for as long as a version lasts.
type keptSession struct {
	watch    *outageWatch
	instance *cluster.HostedInstance
	// caller is nil while the session is closed.
	caller *hosting.Caller
	route  string
}

func (k *keptSession) close() {
	if k.caller != nil {
		k.caller.Close()
		k.caller = nil
	}
}

// ask asks in the session, after it has been opened if necessary.
func (k *keptSession) ask(id string, newest, before change) {
	if k.route != newest.route() && k.route != before.route() {
		k.close()
	}
	var err error
	if k.caller == nil {
		k.route = newest.route()
		if k.caller, err = hosting.DialWithKey(k.instance.Callers, k.route, soak.AnyKey); err != nil {
			k.caller = nil
			return
		}
	}
	q := routeQuestion{instance: k.instance.ID(), route: k.route, id: id, sent: time.Now()}
	result, err := k.caller.Query(id, "READ item")
	if err != nil {
		k.close()
	} else {
		q.refused, q.served = result.Code == "NODB", result.Code == ""
	}
	q.answered = time.Now()
	k.watch.record(q)
}

// violations returns the requests that were handled as only an older version allows, by callers' answers and by what endpoints ran.
func (w *outageWatch) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ranAt := make(map[string]string)
	for service, group := range map[string]*hosting.Group{"g": w.deployment.Group, "h": w.moved} {
		for _, run := range group.Runs() {
			ranAt[run.Request] = service
		}
	}
	var out []string
	for n, c := range w.changes {
		end := time.Now()
		if n+1 < len(w.changes) {
			end = w.changes[n+1].published
		}
		questions := slices.DeleteFunc(slices.Clone(w.questions), func(q routeQuestion) bool { return q.answered.After(end) })
		effects := firstServed(questions, c.route())
		inForce := end.After(c.acknowledged.Add(applyLimit)) && w.stable(end)
		if inForce && len(effects) < len(w.deployment.Instances) {
			out = append(out, fmt.Sprintf("version %d: its route was served by %d instances", c.version, len(effects)))
		}
		for _, q := range questions {
			if !isOlder(w.changes[:n+1], q, ranAt[q.id]) {
				continue
			}
			if q.sent.After(c.acknowledged.Add(applyLimit)) && w.stable(q.sent) {
				out = append(out, fmt.Sprintf("version %d: %s on %s, sent %s after the acknowledgement", c.version, q.instance, q.route, q.sent.Sub(c.acknowledged)))
			}
			if at, known := effects[q.instance]; known && w.stable(q.sent) && q.sent.After(at.Add(regressLimit)) {
				out = append(out, fmt.Sprintf("version %d: %s went back on %s after %s", c.version, q.instance, q.route, q.sent.Sub(at)))
			}
		}
	}
	return out
}

// isOlder reports whether a request was handled as the last of some versions does not allow; service is where it was run, empty if it
// was not.
func isOlder(changes []change, q routeQuestion, service string) bool {
	newest := changes[len(changes)-1]
	if q.sent.Before(newest.published) {
		return false
	}
	switch q.route {
	case newest.route():
		return q.refused
	case "moving":
		return service != "" && service != newest.service
	default:
		return q.served || service != ""
	}
}

// firstServed returns when each instance first served a route.
func firstServed(questions []routeQuestion, route string) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, q := range questions {
		if at, known := out[q.instance]; q.served && q.route == route && (!known || q.answered.Before(at)) {
			out[q.instance] = q.answered
		}
	}
	return out
}

// lags returns how long after its acknowledgement the last instance served the route of each version.
func (w *outageWatch) lags() []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []time.Duration
	for _, c := range w.changes {
		served := slices.Collect(maps.Values(firstServed(w.questions, c.route())))
		if len(served) > 0 {
			out = append(out, slices.MaxFunc(served, time.Time.Compare).Sub(c.acknowledged).Round(time.Millisecond))
		}
	}
	return out
}
