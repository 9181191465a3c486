package entry

import (
	"context"
	"sync"
	"time"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/route"
	"siskincove/session"
	"siskincove/singleflight"
)

const (
	// queryTimeout is how long to wait for the status of all endpoints of a database.
	queryTimeout = 600 * time.Millisecond
	// avoidDuration is how long an endpoint is avoided after it failed or its data was not fresh enough.
	avoidDuration = 500 * time.Millisecond
)

// databaseStates holds the state that this instance has observed of each database.
type databaseStates struct {
	ctx     context.Context
	options Options
	mu      sync.Mutex
	byName  map[string]*databaseState
}

// databaseState is the observed state of the endpoints of one database.
type databaseState struct {
	mu         sync.Mutex
	view       route.View
	queryGroup singleflight.Group[queryResult]
}

// queryResult is the result of asking all endpoints of a database for their status. ok is false if no majority
// answered.
type queryResult struct {
	barrier endpoint.Position
	ok      bool
}

func newDatabaseStates(ctx context.Context, o Options) *databaseStates {
	return &databaseStates{ctx: ctx, options: o, byName: make(map[string]*databaseState)}
}

func (d *databaseStates) getOrCreate(name string) *databaseState {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, ok := d.byName[name]
	if !ok {
		state = &databaseState{}
		d.byName[name] = state
	}
	return state
}

func (d *databaseState) snapshot() route.View {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view
}

func (d *databaseState) recordStatus(name string, status endpoint.Status, waiting int, now time.Time) {
	if status.Role == endpoint.Unknown {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = d.view.WithStatus(name, status, waiting, now)
}

func (d *databaseState) avoid(name string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = d.view.WithAvoid(name, until)
}

func (d *databaseState) recordStale(name string, required session.Requirement, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = d.view.WithStale(name, required, until)
}

// queryDatabase asks every endpoint of a database for its status and returns the barrier. Calls that wait at the same time
// share one query, which starts after all of them.
func (d *databaseStates) queryDatabase(ctx context.Context, name string, members []config.Endpoint) (queryResult, error) {
	state := d.getOrCreate(name)
	return state.queryGroup.Do(ctx, d.ctx, func(ctx context.Context) (queryResult, error) {
		return d.queryEndpoints(ctx, state, members), nil
	})
}

// statusReply is an endpoint's answer to a status request. ok is false if there was none or it was not current.
type statusReply struct {
	endpoint string
	status   endpoint.Status
	ok       bool
}

// queryEndpoints asks all endpoints for their status. It returns as soon as a majority has answered and a primary is
// known, or all endpoints have answered or failed.
func (d *databaseStates) queryEndpoints(ctx context.Context, state *databaseState, members []config.Endpoint) queryResult {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	replies := make(chan statusReply, len(members))
	var queries sync.WaitGroup
	for _, e := range members {
		queries.Go(func() { replies <- d.queryEndpoint(ctx, e) })
	}
	go func() {
		queries.Wait()
		cancel()
	}()
	var logs []endpoint.Position
	for range members {
		r := <-replies
		if !r.ok {
			state.avoid(r.endpoint, d.options.Clock.Now().Add(avoidDuration))
			continue
		}
		state.recordStatus(r.endpoint, r.status, 0, d.options.Clock.Now())
		logs = append(logs, r.status.Log)
		_, primaryKnown := state.snapshot().Primary()
		if barrier, ok := session.Barrier(logs, len(members)); ok && primaryKnown {
			return queryResult{barrier: barrier, ok: true}
		}
	}
	barrier, ok := session.Barrier(logs, len(members))
	return queryResult{barrier: barrier, ok: ok}
}

func (d *databaseStates) queryEndpoint(ctx context.Context, e config.Endpoint) statusReply {
	report, err := d.options.Owners.RequestStatus(ctx, e, freshStatusRequest)
	ok := err == nil && report.UnresponsiveFor == 0 && report.Status.Role != endpoint.Unknown
	return statusReply{endpoint: e.Name, status: report.Status, ok: ok}
}
