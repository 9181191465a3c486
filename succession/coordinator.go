package succession

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/database"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/store"
)

const (
	// Coordinators is how many instances watch a database, each acting later than the one before.
	CoordinatorsPerDatabase = 3
	// roundInterval is how often the first coordinator looks whether the primary was proved to lead lately, and
	// doubtInterval how often any does while there is doubt.
	roundInterval = 200 * time.Millisecond
	doubtInterval = 60 * time.Millisecond
	// proofFresh is how old a proof may be that makes a question needless.
	proofFresh = 350 * time.Millisecond
	// surveyInterval is how often all endpoints are asked without doubt; standbyFactor is how much more rarely coordinators
	// but the first do.
	surveyInterval = 1500 * time.Millisecond
	standbyFactor  = 4
	// askTimeout bounds a question: two regions' round trip and the wait behind a statement.
	askTimeout = 250 * time.Millisecond
	// reservePause is the least pause between two attempts to reserve a fencing token.
	reservePause   = 500 * time.Millisecond
	reserveTimeout = 1500 * time.Millisecond
)

// DefaultTiming suits links of some ms and endpoints that restart within seconds.
var DefaultTiming = Timing{
	Refusing: 120 * time.Millisecond, Unresponsive: 500 * time.Millisecond, Isolated: 700 * time.Millisecond,
	Stagger: 700 * time.Millisecond, HoldTimeout: 2500 * time.Millisecond,
	// Callers accept an age of some seconds; a promotion costs some hundred ms, and lag lasts for many seconds.
	// Waiting is above the 3 to 6 slots of the users' endpoints, which let some tens of statements wait.
	Overloaded: 800 * time.Millisecond, BusySlots: 12, MaxLag: 2 * time.Second, OverloadPause: 12 * time.Second,
}

// Ranking tells the instances that coordinate a database.
type Ranking interface {
	// Rank returns this instance's place in the order of a database's coordinators, and false when it is none of them.
	Rank(database string) (int, bool)
}

// Promoter gives orders to the platform.
type Promoter interface {
	// Promote orders that an endpoint becomes primary under a fencing token; ErrRefused and ErrBusy mean that the order has
	// no effect, and any other error that it may take effect later.
	Promote(ctx context.Context, database, endpoint string, fence uint64) error
}

// Options are what a coordinator needs to know and to use.
type Options struct {
	Timing    Timing
	Clock     clock.Service
	Logger    *event.Logger
	Dialer    connection.Dialer
	Promoter  Promoter
	Rows      store.Rows
	Databases *database.Registry
	Ranking   Ranking
	// Refresh reads the endpoints anew, if the store answers at once, and reports whether they are known well enough to
	// tell which logs may hold acknowledged commits.
	Refresh func(ctx context.Context) bool
	// Announce is called with a database whose primary was replaced.
	Announce func(database string)
}

// Coordinator watches one database and replaces its primary.
type Coordinator struct {
	options Options
	name    string
	probe   *probe
	cancel  context.CancelFunc
	done    chan struct{}
	watch   Detector
	doubt   bool
	// hindrance is what was last in the way of a succession that is due.
	hindrance string
	surveyed  time.Time

	mu      sync.Mutex
	members []config.Endpoint
	// acknowledge is how many replicas have received an acknowledged commit.
	acknowledge int

	// fence is the fencing token reserved ahead, 0 for none.
	fence    uint64
	reserved time.Time
}

// Start starts a coordinator for a database; it ends with ctx or Close.
func Start(ctx context.Context, o Options, d config.Database, members []config.Endpoint) *Coordinator {
	ctx, cancel := context.WithCancel(ctx)
	c := &Coordinator{
		options: o, name: d.Name, probe: newProbe(ctx, o.Dialer, o.Clock), cancel: cancel, done: make(chan struct{}),
		members: members, acknowledge: d.Acknowledge,
	}
	go c.run(ctx)
	return c
}

// Configure takes over the group's endpoints.
func (c *Coordinator) Configure(d config.Database, members []config.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members, c.acknowledge = members, d.Acknowledge
}

// Close ends the coordinator.
func (c *Coordinator) Close() { c.cancel() }

// Done is closed when the coordinator has ended.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

func (c *Coordinator) group() ([]config.Endpoint, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members, c.acknowledge
}

func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	defer c.probe.close()
	for ctx.Err() == nil {
		pause := roundInterval
		rank, ok := c.options.Ranking.Rank(c.name)
		db, known := c.options.Databases.Get(c.name)
		if ok && known {
			c.round(ctx, db, rank)
		}
		switch {
		case c.doubt:
			pause = doubtInterval
		case c.watch.looksClosely():
			pause = roundInterval
		case rank > 0:
			pause *= standbyFactor
		}
		_ = clock.Wait(ctx, c.options.Clock, pause)
	}
}

// round asks the endpoints if there is reason to, and acts on what they say.
func (c *Coordinator) round(ctx context.Context, db *database.Database, rank int) {
	members, _ := c.group()
	lead, led := db.View().Lead()
	now := c.options.Clock.Now()
	interval := surveyInterval
	if rank > 0 {
		interval *= standbyFactor
	}
	fresh := led && !lead.Claimed && now.Sub(lead.At) < proofFresh
	if rank > 0 {
		fresh = led && !lead.Claimed && now.Sub(lead.At) < proofFresh+c.options.Timing.Unresponsive
	}
	departures := db.Departures()
	if fresh && !c.doubt && !c.watch.looksClosely() && len(departures) == 0 && !leaving(members, lead.Endpoint) && now.Sub(c.surveyed) < interval {
		return
	}
	c.surveyed = now
	c.judge(ctx, db, rank, seen{members: members, departures: departures})
	c.reserve(ctx)
}

func leaving(members []config.Endpoint, name string) bool {
	for _, e := range members {
		if e.Name == name {
			return e.Leaving
		}
	}
	return true
}

// judge asks every endpoint and draws the conclusion.
func (c *Coordinator) judge(ctx context.Context, db *database.Database, rank int, g seen) {
	members := g.members
	c.probe.keep(g.all())
	asked := c.options.Clock.Now()
	sights := c.look(ctx, g)
	lead, _ := db.View().Lead()
	_, acknowledge := c.group()
	survey := Survey{Primary: lead.Endpoint, Results: sights, Acknowledge: acknowledge}
	if !lead.Claimed {
		survey.ProvenAt = lead.At
	}
	var j Assessment
	c.watch, j = c.watch.Observe(survey, rank, c.options.Timing, c.options.Clock.Now())
	if j.Primary != "" {
		db.Led(j.Primary, j.Position, asked)
	}
	doubt := j.Reason != NoReason
	if doubt && !c.doubt {
		c.options.Logger.Log(event.PrimaryDoubted, log.Fields{"database": c.name, "why": string(j.Reason), "lead": lead.Endpoint, "rank": rank})
	}
	c.doubt = doubt
	if j.BlockedBy != "" && j.BlockedBy != c.hindrance {
		c.options.Logger.Log(event.SuccessionHindered, log.Fields{
			"database": c.name, "why": j.BlockedBy, "evidence": string(j.Reason), "lead": lead.Endpoint,
			"since": c.options.Clock.Now().Sub(j.Since).String(),
		})
	}
	c.hindrance = j.BlockedBy
	if len(j.Release) > 0 && c.settle(ctx, j.Primary) {
		for _, e := range members {
			if slices.Contains(j.Release, e.Name) {
				c.release(ctx, e)
			}
		}
	}
	if len(j.Settled) > 0 {
		c.options.Logger.Log(event.DepartureSettled, log.Fields{"database": c.name, "endpoints": strings.Join(j.Settled, ",")})
		db.Settle(func(e config.Endpoint) bool { return slices.Contains(j.Settled, g.label(e)) })
	}
	if j.Replace {
		c.replace(ctx, db, g.alive(sights), j)
	}
}

// look asks all endpoints at once.
func (c *Coordinator) look(ctx context.Context, g seen) []ProbeResult {
	all := g.all()
	sights := make([]ProbeResult, len(all))
	var wait sync.WaitGroup
	for i, e := range all {
		wait.Go(func() {
			if g.restarted(i) {
				// Another incarnation answers under this name: the one that left has ended.
				sights[i] = ProbeResult{Endpoint: g.label(e), Departed: true}
				return
			}
			sights[i] = c.probe.ask(ctx, e, statement.Own(statement.Status), askTimeout)
			sights[i].Departed = i >= len(g.members)
		})
	}
	wait.Wait()
	return sights
}

// replace runs a succession over the endpoints that count to its end.
func (c *Coordinator) replace(ctx context.Context, db *database.Database, counted []config.Endpoint, j Assessment) {
	if c.fence == 0 {
		c.reserve(ctx)
	}
	if c.fence == 0 || !c.options.Refresh(ctx) {
		return
	}
	known, acknowledge := c.group()
	registered := slices.DeleteFunc(slices.Clone(counted), func(e config.Endpoint) bool { return !slices.Contains(known, e) })
	if !slices.Equal(known, registered) {
		// An endpoint joined or left since the look: the next look takes it in.
		return
	}
	plan := Plan{Term: holdTerm(j.Term, c.fence), Fence: c.fence, OldPrimary: j.OldPrimary, Answers: j.Primary != "", Acknowledge: acknowledge, Floor: j.Floor, Contested: j.Contested}
	c.fence = 0
	for _, e := range counted {
		if e.Name != plan.OldPrimary {
			plan.Replicas = append(plan.Replicas, Replica{Name: e.Name, Leaving: e.Leaving})
		}
	}
	c.options.Logger.Log(event.SuccessionStarted, log.Fields{
		"database": c.name, "why": string(j.Reason), "since": c.options.Clock.Now().Sub(j.Since).String(), "lost": plan.OldPrimary,
		"term": uint64(plan.Term), "fence": plan.Fence, "replicas": len(plan.Replicas), "acknowledge": acknowledge,
	})
	r := &run{coordinator: c, database: db, members: counted, succession: New(plan)}
	r.conduct(ctx)
	c.watch, c.doubt = c.watch.again(), true
	c.surveyed = time.Time{}
	c.reserve(ctx)
}
