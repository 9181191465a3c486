package failover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/event"
	"siskincove/pool"
	"siskincove/store"
)

const (
	// Coordinators is how many instances coordinate a database; each acts later than the one ranked before it.
	Coordinators = 3
	// standbyIntervalFactor multiplies the polling interval of all coordinators but the first.
	standbyIntervalFactor = 4
	requestTimeout        = 350 * time.Millisecond
	reattachInterval      = time.Second
	// reserveInterval is the minimum time between two attempts to reserve terms, and bounds each of them.
	reserveInterval = time.Second
)

// Ranking tells this instance's index among the coordinators of a database.
type Ranking interface {
	// Rank returns this instance's index among a database's coordinators, or false if it is not one of them.
	Rank(database string) (int, bool)
}

// OwnerClient sends status requests and commands to endpoints through the instances that own them.
type OwnerClient interface {
	RequestStatus(ctx context.Context, e config.Endpoint, q pool.StatusRequest) (pool.Report, error)
	Command(ctx context.Context, e config.Endpoint, command pool.Command, term endpoint.FencedTerm, primary string) (pool.Report, error)
}

// Options are the settings and dependencies of a coordinator.
type Options struct {
	// ID identifies this instance in rows of the store.
	ID string
	// Interval is the pause between two rounds of the first coordinator.
	Interval time.Duration
	Timing   Timing
	Clock    clock.Service
	Logger   *event.Logger
	Owners   OwnerClient
	Rows     store.Rows
	Ranking  Ranking
}

// Coordinator polls the endpoints of one database and fails it over when its primary is lost.
type Coordinator struct {
	options  Options
	database string
	cancel   context.CancelFunc
	done     chan struct{}

	mu      sync.Mutex
	members []config.Endpoint

	detector        Detector
	reservation     Reservation
	reserveAttempts int
	lastReattach    time.Time
	lastReserve     time.Time
}

// New starts a coordinator for a database; it stops when ctx ends or Close is called.
func New(ctx context.Context, o Options, database string, members []config.Endpoint) *Coordinator {
	ctx, cancel := context.WithCancel(ctx)
	c := &Coordinator{options: o, database: database, members: members, cancel: cancel, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// Configure replaces the group's members by those of a newer configuration revision.
func (c *Coordinator) Configure(_ config.Database, members []config.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// Close stops the coordinator without waiting for it; see Done.
func (c *Coordinator) Close() { c.cancel() }

// Done returns a channel that is closed when the coordinator has stopped.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

func (c *Coordinator) currentMembers() []config.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members
}

func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	for {
		pause := c.options.Interval
		rank, ok := c.options.Ranking.Rank(c.database)
		if ok {
			c.round(ctx, rank)
		}
		if !ok || rank > 0 {
			pause *= standbyIntervalFactor
		}
		select {
		case <-ctx.Done():
			return
		case <-c.options.Clock.After(pause):
		}
	}
}

// round polls every endpoint once and fails over or reattaches replicas as needed.
func (c *Coordinator) round(ctx context.Context, rank int) {
	members := c.currentMembers()
	observations := c.observe(ctx, members)
	var decision Decision
	c.detector, decision = c.detector.Observe(observations, rank, c.options.Timing, c.options.Clock.Now())
	c.reserve(ctx, decision.Highest)
	switch {
	case decision.StartBallot:
		c.failOver(ctx, members, decision)
	case len(decision.Reattach) > 0:
		c.reattach(ctx, members, decision)
	}
}

// observe asks the owners of all endpoints for their status concurrently.
func (c *Coordinator) observe(ctx context.Context, members []config.Endpoint) []Observation {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	observations := make([]Observation, len(members))
	var wait sync.WaitGroup
	for i, e := range members {
		wait.Go(func() {
			observations[i] = Observation{Endpoint: e.Name}
			report, err := c.options.Owners.RequestStatus(ctx, e, pool.StatusRequest{})
			if err == nil && report.Status.Role != endpoint.Unknown {
				observations[i] = Observation{Endpoint: e.Name, Known: true, Status: report.Status, UnresponsiveFor: report.UnresponsiveFor, Leaving: e.Leaving}
			}
		})
	}
	wait.Wait()
	return observations
}

// reserve keeps a reservation of terms above the highest promised one, so that a failover need not wait for the store.
func (c *Coordinator) reserve(ctx context.Context, highest endpoint.FencedTerm) {
	now := c.options.Clock.Now()
	if highest == 0 || c.reservation.Covers(highest) || now.Sub(c.lastReserve) < reserveInterval {
		return
	}
	c.lastReserve = now
	c.reserveAttempts++
	operation := fmt.Sprintf("%s/%s/%d/%d", c.options.ID, c.database, now.UnixNano(), c.reserveAttempts)
	ctx, cancel := context.WithTimeout(ctx, reserveInterval)
	defer cancel()
	reservation, err := Reserve(ctx, c.options.Rows, c.database, operation, highest)
	if err != nil {
		c.options.Logger.Log(event.TermMissing, log.Fields{"database": c.database, "error": err.Error()})
		return
	}
	c.reservation = reservation
	c.options.Logger.Log(event.TermReserved, log.Fields{"database": c.database, "term": uint64(reservation.next)})
}

func (c *Coordinator) failOver(ctx context.Context, members []config.Endpoint, decision Decision) {
	next, term, ok := c.reservation.Take(decision.Highest)
	if !ok {
		c.options.Logger.Log(event.TermMissing, log.Fields{"database": c.database, "highest": uint64(decision.Highest)})
		return
	}
	c.reservation = next
	c.options.Logger.Log(event.PrimaryLost, log.Fields{"database": c.database, "why": string(decision.Reason), "term": uint64(term)})
	names := make([]string, 0, len(members))
	for _, e := range members {
		names = append(names, e.Name)
	}
	r := &ballotRun{coordinator: c, members: members, ballot: NewBallot(term, names, decision.Excluded)}
	r.runToEnd(ctx)
	c.detector = Detector{}
}

// reattach commands endpoints that follow no primary, or one of an older term, to follow the current one.
func (c *Coordinator) reattach(ctx context.Context, members []config.Endpoint, decision Decision) {
	now := c.options.Clock.Now()
	if now.Sub(c.lastReattach) < reattachInterval {
		return
	}
	c.lastReattach = now
	primary, ok := findMember(members, decision.Primary)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	for _, name := range decision.Reattach {
		e, ok := findMember(members, name)
		if !ok {
			continue
		}
		_, err := c.options.Owners.Command(ctx, e, pool.CommandFollow, decision.Term, primary.Address)
		fields := log.Fields{"database": c.database, "endpoint": name, "leader": decision.Primary, "term": uint64(decision.Term)}
		if err != nil {
			fields["error"] = err.Error()
		}
		c.options.Logger.Log(event.FollowerRedirected, fields)
	}
}

func findMember(members []config.Endpoint, name string) (config.Endpoint, bool) {
	for _, e := range members {
		if e.Name == name {
			return e, true
		}
	}
	return config.Endpoint{}, false
}
