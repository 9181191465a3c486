package dispatch

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/session"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// preparedMaximum bounds the prepared statements of one session.
	preparedMaximum = 10000
	// openPatience is how long a caller waits for the first configuration; callers give up after 2 s.
	openPatience = 1600 * time.Millisecond
	openPause    = 20 * time.Millisecond
)

// prepared is a statement that the caller has prepared, and the name that it has at endpoints.
type prepared struct {
	shared string
	shape  string
	writes bool
}

// Session is one caller's session; its methods are called by one goroutine.
type Session struct {
	dispatcher *Dispatcher
	name       string
	salt       string
	state      statement.State
	settings   map[string]string
	prepared   map[string]prepared
	token      session.Token
	tx         *transaction
}

// Open starts a session for a name that callers connect to, or says why there is none.
// While there is no configuration yet, as after a start, it waits for one.
func (d *Dispatcher) Open(ctx context.Context, name string) (*Session, *verdict.Error) {
	until := d.now().Add(openPatience)
	for d.options.Catalogs.Catalog() == nil && d.now().Before(until) && ctx.Err() == nil {
		_ = clock.Wait(ctx, d.options.Clock, openPause)
	}
	if _, _, refused := d.route(name); refused != nil {
		return nil, refused
	}
	salt := strconv.FormatUint(d.sessions.Add(1), 36)
	return &Session{dispatcher: d, name: name, salt: salt}, nil
}

// State returns the session's transaction state.
func (s *Session) State() statement.State { return s.state }

// IdleLimit returns how long the session's open transaction may stay idle, 0 when there is no bound or no transaction.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil {
		return 0
	}
	return s.tx.idle
}

// Run runs a request and returns its only answer.
func (s *Session) Run(ctx context.Context, r statement.Request) statement.Answer {
	started := s.dispatcher.now()
	a := s.run(ctx, r)
	a.State = s.state
	countAnswer(r.Kind, a.Failure, s.dispatcher.now().Sub(started))
	return a
}

func (s *Session) run(ctx context.Context, r statement.Request) statement.Answer {
	if s.state == statement.Failed && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		return s.malformed("transaction has failed and can only be ended")
	}
	switch r.Kind {
	case statement.Begin, statement.BeginRead:
		return s.begin(r)
	case statement.Commit:
		return s.commit(ctx, r)
	case statement.Rollback:
		return s.rollback()
	case statement.Set:
		return s.set(r)
	case statement.Prepare:
		return s.prepare(r)
	case statement.Forget:
		delete(s.prepared, r.Name)
		return statement.Answer{}
	case statement.Read, statement.Write, statement.Execute:
		return s.execute(ctx, r)
	default:
		return s.malformed("unknown statement")
	}
}

func (s *Session) malformed(message string) statement.Answer {
	return statement.Refusal(verdict.New(verdict.NotRun, verdict.Malformed, "%s", message), s.state)
}

// set keeps a setting; connections get it before the session's next statement.
func (s *Session) set(r statement.Request) statement.Answer {
	next := maps.Clone(s.settings)
	if next == nil {
		next = make(map[string]string)
	}
	next[r.Name] = r.Value
	s.settings = next
	if s.tx != nil {
		s.tx.changed = true
	}
	return statement.Answer{}
}

// prepare keeps a statement; connections prepare it, under a name that depends on the shape alone, before its first use.
func (s *Session) prepare(r statement.Request) statement.Answer {
	if len(s.prepared) >= preparedMaximum {
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.Oversized, "session has %d prepared statements", preparedMaximum), s.state)
	}
	if s.prepared == nil {
		s.prepared = make(map[string]prepared)
	}
	s.prepared[r.Name] = prepared{shared: sharedName(r.Value, r.Writes), shape: r.Value, writes: r.Writes}
	return statement.Answer{}
}

func sharedName(shape string, writes bool) string {
	mode := "r"
	if writes {
		mode = "w"
	}
	return fmt.Sprintf("%s%016x", mode, xxhash.Sum64String(shape))
}

// execute runs a read or a write, inside or outside a transaction.
func (s *Session) execute(ctx context.Context, r statement.Request) statement.Answer {
	j := job{request: r}
	if r.Kind == statement.Execute {
		known, ok := s.prepared[r.Name]
		if !ok {
			return statement.Refusal(verdict.New(verdict.NotRun, verdict.Unprepared, "no statement is prepared as %s", r.Name), s.state)
		}
		j.prepared = known
		j.request.Name, j.request.Writes = known.shared, known.writes
	}
	if s.tx != nil {
		return s.inside(ctx, j)
	}
	return s.single(ctx, j)
}

// job is a caller's read or write with what it needs at the endpoint.
type job struct {
	request  statement.Request
	prepared prepared
}

// Close ends the session; an open transaction is rolled back.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.end()
		s.tx = nil
	}
	s.state = statement.Idle
}

// Abort rolls back an open transaction on behalf of the caller, who learns of it by the answer to its next request.
func (s *Session) Abort(why string) {
	if s.tx == nil {
		return
	}
	s.tx.lose(why)
	s.state = statement.Failed
}

// bounds returns the limits of a route.
func bounds(catalog *config.Catalog, route config.Route) (timeout, target time.Duration, priority int) {
	limit, _ := catalog.Limit(route.Limit)
	timeout = limit.Deadline.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	target = limit.TargetLatency.Std()
	if target <= 0 {
		target = timeout
	}
	return timeout, target, limit.Priority
}
