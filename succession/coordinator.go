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
	"siskincove/directory"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/store"
)

const (
	// CoordinatorsPerDatabase is how many instances monitor a database. Each acts Timing.Stagger later than the one before.
	CoordinatorsPerDatabase = 3
	// roundInterval is how often the first coordinator checks for a recent proof that the primary leads. suspectInterval
	// is how often every coordinator probes all endpoints while the primary is suspected.
	roundInterval   = 200 * time.Millisecond
	suspectInterval = 60 * time.Millisecond
	// proofMaxAge is the age up to which a proof of the primary's lead makes a probe unnecessary.
	proofMaxAge = 350 * time.Millisecond
	// surveyInterval is how often all endpoints are probed while the primary is not suspected. For coordinators other than
	// the first, standbyFactor multiplies roundInterval and surveyInterval.
	surveyInterval = 1500 * time.Millisecond
	standbyFactor  = 4
	// probeTimeout bounds a probe. It covers a round trip between two regions and the wait behind a running statement.
	probeTimeout = 250 * time.Millisecond
	// reserveInterval is the minimum time between two attempts to reserve a fencing token.
	reserveInterval = 500 * time.Millisecond
	reserveTimeout  = 1500 * time.Millisecond
)

// DefaultTiming suits links with latencies of a few ms and endpoints that restart within seconds.
var DefaultTiming = Timing{
	Refusing: 120 * time.Millisecond, Unresponsive: 500 * time.Millisecond, Isolated: 700 * time.Millisecond,
	Stagger: 700 * time.Millisecond, HoldTimeout: 2500 * time.Millisecond,
	// Callers accept data that is a few seconds old. A promotion interrupts writes for a few hundred ms, whereas replica
	// lag lasts for many seconds. BusySlots exceeds the 3 to 6 slots of users' endpoints, which queue some tens of
	// statements.
	Overloaded: 800 * time.Millisecond, BusySlots: 12, MaxLag: 2 * time.Second, OverloadPause: 12 * time.Second,
}

// Ranking tells the index of an instance among the coordinators of a database.
type Ranking interface {
	// Rank returns this instance's index among a database's coordinators, and false if it is not one of them.
	Rank(database string) (int, bool)
}

// Promoter sends promotion requests to the platform.
type Promoter interface {
	// Promote requests that an endpoint become primary under a fencing token. ErrRefused and ErrBusy mean that the request
	// has no effect; after any other error it may still take effect later.
	Promote(ctx context.Context, database, endpoint string, fence uint64) error
}

// Options configure a Coordinator.
type Options struct {
	Timing    Timing
	Clock     clock.Service
	Logger    *event.Logger
	Dialer    connection.Dialer
	Promoter  Promoter
	Rows      store.Rows
	Databases *database.Registry
	Ranking   Ranking
	// Turns are shared by the coordinators of this process.
	Turns *Turns
	// Refresh reloads the endpoints if the store answers within a timeout, and returns how current they are.
	Refresh func(ctx context.Context, timeout time.Duration) directory.Reading
	// Era returns the latest era of the store that is known.
	Era func() uint64
	// Announce is called with the name of a database whose primary was replaced, or for which a promotion was requested or has ended.
	Announce func(database string)
}

// Coordinator monitors one database and replaces its primary when necessary.
type Coordinator struct {
	options   Options
	name      string
	prober    *prober
	cancel    context.CancelFunc
	done      chan struct{}
	detector  Detector
	suspected bool
	// blockedBy is what last kept a due succession from starting; it is logged when it changes.
	blockedBy  string
	lastSurvey time.Time
	// deferral is how long a due succession has been left to coordinators that can read the endpoints.
	deferral deferral
	// keeper keeps the list of members in the store; membersRead is set once it has been read.
	keeper      *memberKeeper
	membersRead bool

	mu      sync.Mutex
	members []config.Endpoint
	// acknowledge is the number of replicas that must receive a commit before it is acknowledged.
	acknowledge int

	// fencingToken is the token reserved in advance, 0 for none.
	fencingToken    uint64
	lastReservation time.Time
	// shortfall is since when no endpoint is known that has every acknowledged commit.
	shortfall shortfall
	// watches are those of the last promotion that this coordinator requested, nil before the first.
	watches *watches
	// assistance concerns the promotion of another coordinator.
	assistance assistance
	// invalidation is the one that has still to settle.
	invalidation invalidation
}

// Start starts a coordinator for a database. It runs until ctx ends or Close is called.
func Start(ctx context.Context, o Options, d config.Database, members []config.Endpoint) *Coordinator {
	ctx, cancel := context.WithCancel(ctx)
	c := &Coordinator{
		options: o, name: d.Name, prober: newProber(ctx, o.Dialer, o.Clock), cancel: cancel, done: make(chan struct{}),
		members: members, acknowledge: d.SyncReplicas, keeper: startMemberKeeper(ctx, o, d.Name),
	}
	go c.run(ctx)
	return c
}

// Configure replaces the group's endpoints and its acknowledgement count.
func (c *Coordinator) Configure(d config.Database, members []config.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members, c.acknowledge = members, d.SyncReplicas
}

// Close stops the coordinator without waiting for it; see Done.
func (c *Coordinator) Close() { c.cancel() }

// Done returns a channel that is closed once the coordinator has stopped.
func (c *Coordinator) Done() <-chan struct{} { return c.done }

func (c *Coordinator) group() ([]config.Endpoint, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members, c.acknowledge
}

func (c *Coordinator) run(ctx context.Context) {
	defer close(c.done)
	defer func() { <-c.keeper.done }()
	defer c.prober.close()
	defer func() { c.watches.end() }()
	for ctx.Err() == nil {
		pause := roundInterval
		rank, ok := c.options.Ranking.Rank(c.name)
		db, known := c.options.Databases.Get(c.name)
		if ok && known {
			c.round(ctx, db, rank)
		}
		switch {
		case c.suspected || ok && known && c.assists(db):
			pause = suspectInterval
		case c.detector.needsFrequentProbes() || c.invalidation.pending():
			pause = roundInterval
		case rank > 0:
			pause *= standbyFactor
		}
		_ = clock.Wait(ctx, c.options.Clock, pause)
	}
}

// round probes the endpoints unless the primary was proved to lead recently, and acts on the results.
func (c *Coordinator) round(ctx context.Context, db *database.Database, rank int) {
	members, acknowledge := c.group()
	lead, led := db.View().Lead()
	now := c.options.Clock.Now()
	interval := surveyInterval
	if rank > 0 {
		interval *= standbyFactor
	}
	fresh := led && !lead.Claimed && now.Sub(lead.At) < proofMaxAge
	if rank > 0 {
		fresh = led && !lead.Claimed && now.Sub(lead.At) < proofMaxAge+c.options.Timing.Unresponsive
	}
	departures := c.keepMembers(db, acknowledge, rank)
	if fresh && !c.suspected && !c.assists(db) && !c.detector.needsFrequentProbes() && !c.invalidation.pending() && len(departures) == 0 && !isLeaving(members, lead.Endpoint) && now.Sub(c.lastSurvey) < interval {
		return
	}
	c.lastSurvey = now
	c.assess(ctx, db, rank, probeTargets{members: members, departures: departures})
	c.reserveTokenAhead(ctx)
}

// isLeaving reports whether an endpoint is leaving or no longer registered.
func isLeaving(members []config.Endpoint, name string) bool {
	for _, e := range members {
		if e.Name == name {
			return e.Leaving
		}
	}
	return true
}

// assess probes every endpoint and acts on the detector's assessment.
func (c *Coordinator) assess(ctx context.Context, db *database.Database, rank int, targets probeTargets) {
	members := targets.members
	c.prober.retain(targets.all())
	probedAt := c.options.Clock.Now()
	results := c.probeAll(ctx, targets)
	c.assist(ctx, db, targets.all(), results, probedAt)
	lead, _ := db.View().Lead()
	_, acknowledge := c.group()
	survey := Survey{Primary: lead.Endpoint, Results: results, Acknowledge: acknowledge, AcceptLoss: c.shortfall.isAccepted(c.options.Clock.Now())}
	if !lead.Claimed {
		survey.ProvenAt = lead.At
	}
	var assessment Assessment
	c.detector, assessment = c.detector.Observe(survey, rank, c.options.Timing, c.options.Clock.Now())
	if targets.registered(assessment.Primary) {
		db.RecordLead(assessment.Primary, assessment.Position, probedAt)
	}
	suspected := assessment.Reason != NoReason
	if suspected && !c.suspected {
		c.options.Logger.Log(event.PrimarySuspected, log.Fields{"database": c.name, "why": string(assessment.Reason), "lead": lead.Endpoint, "rank": rank})
	}
	if c.suspected = suspected; !suspected {
		c.deferral, c.shortfall = deferral{}, shortfall{}
	}
	now := c.options.Clock.Now()
	c.options.Turns.update(c.name, func(t turn) turn { return t.WithSurvey(results, c.detector.holds, now) })
	otherTurn := c.turn(db).BlockedBy(now)
	switch {
	case assessment.Replace:
	case assessment.BlockedBy == "" && len(assessment.Release) > 0:
		c.setBlocked(otherTurn, Assessment{Reason: Abandoned, Since: now}, lead.Endpoint)
	default:
		c.setBlocked(assessment.BlockedBy, assessment, lead.Endpoint)
	}
	c.releaseAbandoned(ctx, db, members, assessment, results, probedAt, otherTurn == "")
	if len(assessment.Settled) > 0 {
		c.options.Logger.Log(event.DepartureSettled, log.Fields{"database": c.name, "endpoints": strings.Join(assessment.Settled, ",")})
		db.DropSettledDepartures(func(e config.Endpoint) bool { return slices.Contains(assessment.Settled, targets.label(e)) })
	}
	if assessment.Replace {
		c.replace(ctx, db, targets, results, assessment, rank)
	}
}

// probeAll probes all endpoints in parallel.
func (c *Coordinator) probeAll(ctx context.Context, targets probeTargets) []ProbeResult {
	all := targets.all()
	results := make([]ProbeResult, len(all))
	var wait sync.WaitGroup
	for i, e := range all {
		wait.Go(func() {
			if targets.restarted(i) {
				// A newer incarnation is registered under this name, so the departed one has stopped.
				results[i] = ProbeResult{Endpoint: targets.label(e), Departed: true, Successor: e.Name, Incarnation: e.Incarnation}
				return
			}
			results[i] = c.prober.query(ctx, e, statement.ProxyStep(statement.Status), probeTimeout)
			results[i].Departed, results[i].Incarnation = i >= len(targets.members), e.Incarnation
		})
	}
	wait.Wait()
	return results
}

// readEndpoints reads the endpoints again and returns how current they are. It returns false if a due succession must not start yet.
func (c *Coordinator) readEndpoints(ctx context.Context, a Assessment) (directory.Reading, bool) {
	timeout, due := c.deferral.readTimeout(c.options.Timing, c.options.Clock.Now())
	if !due {
		return directory.Reading{}, false
	}
	reading := c.options.Refresh(ctx, timeout)
	var current bool
	if c.deferral, current = c.deferral.with(reading, c.options.Timing, c.options.Clock.Now()); !current {
		c.setBlocked("the endpoints can't be read, coordinators that read them act first", a, a.OldPrimary)
	}
	return reading, current && reading.Settled
}

// replace runs a succession over the counted endpoints to its end.
func (c *Coordinator) replace(ctx context.Context, db *database.Database, targets probeTargets, results []ProbeResult, assessment Assessment, rank int) {
	if c.fencingToken == 0 {
		c.reserveTokenAhead(ctx)
	}
	if c.fencingToken == 0 || !c.mayCountMembers(assessment) || !c.takeTurn(ctx, db, assessment) {
		return
	}
	relisted := c.relistMembers(ctx)
	reading, current := c.readEndpoints(ctx, assessment)
	if !current {
		return
	}
	relisted()
	if _, acknowledge := c.group(); !slices.Equal(targets.departures, c.keepMembers(db, acknowledge, rank)) {
		// Another departure is known since the probes; the next round includes it.
		return
	}
	counted := targets.counted(results)
	known, acknowledge := c.group()
	registered := slices.DeleteFunc(slices.Clone(counted), func(e config.Endpoint) bool { return !slices.Contains(known, e) })
	if !slices.Equal(known, registered) {
		// An endpoint joined or left since the probes; the next round includes the change.
		return
	}
	if assessment.Primary != "" && !c.mayDemote(ctx, targets, counted, results, assessment.Primary) {
		return
	}
	plan := Plan{Term: holdTerm(assessment.Term, c.fencingToken), Fence: c.fencingToken, OldPrimary: assessment.OldPrimary, OldPrimaryAnswers: assessment.Primary != "", Unreplicated: assessment.Unreplicated, Acknowledge: acknowledge, Floor: assessment.Floor, Contested: assessment.Contested, AcceptLoss: c.shortfall.isAccepted(c.options.Clock.Now())}
	c.fencingToken = 0
	c.options.Turns.update(c.name, func(t turn) turn { return t.WithToken(plan.Fence, plan.Term) })
	for _, e := range counted {
		if e.Name != plan.OldPrimary {
			plan.Replicas = append(plan.Replicas, Replica{Name: e.Name, Leaving: e.Leaving})
		}
	}
	fields := log.Fields{
		"database": c.name, "why": string(assessment.Reason), "since": c.options.Clock.Now().Sub(assessment.Since).String(), "lost": plan.OldPrimary,
		"term": uint64(plan.Term), "fence": plan.Fence, "replicas": len(plan.Replicas), "acknowledge": acknowledge,
	}
	c.setBlocked("", assessment, plan.OldPrimary)
	c.addEvidence(fields, targets, results, plan, reading)
	c.options.Logger.Log(event.SuccessionStarted, fields)
	r := &runner{coordinator: c, database: db, members: counted, plan: plan, succession: New(plan)}
	r.run(ctx)
	c.shortfall = c.shortfall.with(r.succession, reading.Err != nil, c.options.Clock.Now())
	c.detector, c.suspected, c.deferral = c.detector.afterAttempt(plan.Term), true, deferral{}
	c.lastSurvey = time.Time{}
	c.reserveTokenAhead(ctx)
}
