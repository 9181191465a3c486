package entry

import (
	"context"
	"sync"
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/route"
	"siskincove/session"
	"siskincove/share"
)

const (
	// inquiryTimeout bounds a question to all endpoints of a database.
	inquiryTimeout = 600 * time.Millisecond
	// avoidFor is how long an endpoint that failed is avoided.
	avoidFor = 500 * time.Millisecond
)

// databases keeps what this instance knows of each database.
type databases struct {
	ctx     context.Context
	options Options
	mu      sync.Mutex
	byName  map[string]*database
}

// database is what this instance knows of one database.
type database struct {
	mu        sync.Mutex
	knowledge route.View
	asking    share.Group[inquiry]
}

// inquiry is the outcome of asking all endpoints of a database.
type inquiry struct {
	barrier endpoint.Position
	ok      bool
}

func newDatabases(ctx context.Context, o Options) *databases {
	return &databases{ctx: ctx, options: o, byName: make(map[string]*database)}
}

func (d *databases) find(name string) *database {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, ok := d.byName[name]
	if !ok {
		found = &database{}
		d.byName[name] = found
	}
	return found
}

func (d *database) known() route.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.knowledge
}

func (d *database) learn(name string, status endpoint.Status, waiting int, now time.Time) {
	if status.Role == endpoint.Unknown {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knowledge = d.knowledge.WithStatus(name, status, waiting, now)
}

func (d *database) avoid(name string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knowledge = d.knowledge.WithAvoid(name, until)
}

func (d *database) stale(name string, need session.Requirement, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knowledge = d.knowledge.WithStale(name, need, until)
}

// inquire asks every endpoint of a database, for all who wait at this time, and returns the barrier.
func (d *databases) inquire(ctx context.Context, name string, members []config.Endpoint) (inquiry, error) {
	found := d.find(name)
	return found.asking.Do(ctx, d.ctx, func(ctx context.Context) (inquiry, error) {
		return d.ask(ctx, found, members), nil
	})
}

type reply struct {
	endpoint string
	status   endpoint.Status
	ok       bool
}

// ask returns as soon as a majority has answered and a primary is known, or all have answered or failed.
func (d *databases) ask(ctx context.Context, into *database, members []config.Endpoint) inquiry {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	replies := make(chan reply, len(members))
	var asking sync.WaitGroup
	for _, e := range members {
		asking.Go(func() { replies <- d.askOne(ctx, e) })
	}
	go func() {
		asking.Wait()
		cancel()
	}()
	var logs []endpoint.Position
	for range members {
		r := <-replies
		if !r.ok {
			into.avoid(r.endpoint, d.options.Clock.Now().Add(avoidFor))
			continue
		}
		into.learn(r.endpoint, r.status, 0, d.options.Clock.Now())
		logs = append(logs, r.status.Log)
		_, led := into.known().Primary()
		if barrier, ok := session.Barrier(logs, len(members)); ok && led {
			return inquiry{barrier: barrier, ok: true}
		}
	}
	barrier, ok := session.Barrier(logs, len(members))
	return inquiry{barrier: barrier, ok: ok}
}

func (d *databases) askOne(ctx context.Context, e config.Endpoint) reply {
	report, err := d.options.Owners.Ask(ctx, e, questionFresh)
	ok := err == nil && report.Silence == 0 && report.Status.Role != endpoint.Unknown
	return reply{endpoint: e.Name, status: report.Status, ok: ok}
}
