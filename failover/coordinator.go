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
	// Coordinators is how many instances watch a database, each acting later than the one before.
	Coordinators = 3
	// standbyFactor is how much more rarely coordinators but the first ask.
	standbyFactor = 4
	sightTimeout  = 350 * time.Millisecond
	mendPause     = time.Second
	reservePause  = time.Second
)

// Ranking tells the instances that coordinate a database.
type Ranking interface {
	// Rank returns this instance's place in the order of a database's coordinators, and false when it is none of them.
	Rank(database string) (int, bool)
}

// Owners asks and tells endpoints through their owners.
type Owners interface {
	Ask(ctx context.Context, e config.Endpoint, q pool.Question) (pool.Report, error)
	Command(ctx context.Context, e config.Endpoint, order pool.Order, term endpoint.FencedTerm, leader string) (pool.Report, error)
}

// Options are what a coordinator needs to know and to use.
type Options struct {
	// ID names this instance in rows of the store.
	ID       string
	Interval time.Duration
	Timing   Timing
	Clock    clock.Service
	Logger   *event.Logger
	Owners   Owners
	Rows     store.Rows
	Ranking  Ranking
}

// Coordinator watches one database and fails it over.
type Coordinator struct {
	options  Options
	database string
	cancel   context.CancelFunc
	done     chan struct{}

	mu      sync.Mutex
	members []config.Endpoint

	watch       Watch
	reservation Reservation
	operations  int
	mended      time.Time
	reserved    time.Time
}

// New starts a coordinator for a database; it ends with ctx or Close.
func New(ctx context.Context, o Options, database string, members []config.Endpoint) *Coordinator {
	ctx, cancel := context.WithCancel(ctx)
	c := &Coordinator{options: o, database: database, members: members, cancel: cancel, done: make(chan struct{})}
	go c.run(ctx)
	return c
}

// Configure takes over the group's members of a newer revision.
func (c *Coordinator) Configure(_ config.Database, members []config.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members = members
}

// Close ends the coordinator.
func (c *Coordinator) Close() { c.cancel() }

// Done is closed when the coordinator has ended.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

func (c *Coordinator) group() []config.Endpoint {
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
			pause *= standbyFactor
		}
		select {
		case <-ctx.Done():
			return
		case <-c.options.Clock.After(pause):
		}
	}
}

// round looks at every endpoint once and acts on what is seen.
func (c *Coordinator) round(ctx context.Context, rank int) {
	members := c.group()
	sights := c.look(ctx, members)
	var j Decision
	c.watch, j = c.watch.Observe(sights, rank, c.options.Timing, c.options.Clock.Now())
	c.reserve(ctx, j.Highest)
	switch {
	case j.Lost:
		c.failOver(ctx, members, j)
	case len(j.Reattach) > 0:
		c.mend(ctx, members, j)
	}
}

// look asks the owners of all endpoints at once.
func (c *Coordinator) look(ctx context.Context, members []config.Endpoint) []Observation {
	ctx, cancel := context.WithTimeout(ctx, sightTimeout)
	defer cancel()
	sights := make([]Observation, len(members))
	var wait sync.WaitGroup
	for i, e := range members {
		wait.Go(func() {
			sights[i] = Observation{Endpoint: e.Name}
			report, err := c.options.Owners.Ask(ctx, e, pool.Question{})
			if err == nil && report.Status.Role != endpoint.Unknown {
				sights[i] = Observation{Endpoint: e.Name, Known: true, Status: report.Status, Silence: report.Silence, Leaving: e.Leaving}
			}
		})
	}
	wait.Wait()
	return sights
}

// reserve keeps terms in stock that are above every term promised so far.
func (c *Coordinator) reserve(ctx context.Context, highest endpoint.FencedTerm) {
	now := c.options.Clock.Now()
	if highest == 0 || c.reservation.Covers(highest) || now.Sub(c.reserved) < reservePause {
		return
	}
	c.reserved = now
	c.operations++
	operation := fmt.Sprintf("%s/%s/%d/%d", c.options.ID, c.database, now.UnixNano(), c.operations)
	ctx, cancel := context.WithTimeout(ctx, reservePause)
	defer cancel()
	reservation, err := Reserve(ctx, c.options.Rows, c.database, operation, highest)
	if err != nil {
		c.options.Logger.Log(event.TermMissing, log.Fields{"database": c.database, "error": err.Error()})
		return
	}
	c.reservation = reservation
	c.options.Logger.Log(event.TermReserved, log.Fields{"database": c.database, "term": uint64(reservation.next)})
}

func (c *Coordinator) failOver(ctx context.Context, members []config.Endpoint, j Decision) {
	next, term, ok := c.reservation.Take(j.Highest)
	if !ok {
		c.options.Logger.Log(event.TermMissing, log.Fields{"database": c.database, "highest": uint64(j.Highest)})
		return
	}
	c.reservation = next
	c.options.Logger.Log(event.PrimaryLost, log.Fields{"database": c.database, "why": string(j.Reason), "term": uint64(term)})
	names := make([]string, 0, len(members))
	for _, e := range members {
		names = append(names, e.Name)
	}
	r := &run{coordinator: c, members: members, ballot: NewBallot(term, names, j.Excluded)}
	r.conduct(ctx)
	c.watch = Watch{}
}

// mend tells endpoints that follow nobody, or an older term, to follow the primary.
func (c *Coordinator) mend(ctx context.Context, members []config.Endpoint, j Decision) {
	now := c.options.Clock.Now()
	if now.Sub(c.mended) < mendPause {
		return
	}
	c.mended = now
	leader, ok := find(members, j.Leader)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sightTimeout)
	defer cancel()
	for _, name := range j.Reattach {
		e, ok := find(members, name)
		if !ok {
			continue
		}
		_, err := c.options.Owners.Command(ctx, e, pool.OrderFollow, j.Term, leader.Address)
		fields := log.Fields{"database": c.database, "endpoint": name, "leader": j.Leader, "term": uint64(j.Term)}
		if err != nil {
			fields["error"] = err.Error()
		}
		c.options.Logger.Log(event.FollowerMended, fields)
	}
}

func find(members []config.Endpoint, name string) (config.Endpoint, bool) {
	for _, e := range members {
		if e.Name == name {
			return e, true
		}
	}
	return config.Endpoint{}, false
}
