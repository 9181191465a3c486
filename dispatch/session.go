package dispatch

import (
	"context"
	"maps"
	"strconv"
	"time"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/session"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// maxPreparedStatements bounds the prepared statements of one session.
	maxPreparedStatements = 10000
	// maxSettings bounds the settings of one session, all of which are applied to a connection before its next statement.
	maxSettings = 500
	// openTimeout is how long a caller waits for the first configuration; callers give up after 2 s.
	openTimeout      = 1600 * time.Millisecond
	openPollInterval = 20 * time.Millisecond
	// proofTimeout is how long a caller waits for the proof that the configuration is the newest, which arrives soon if at all.
	proofTimeout = 400 * time.Millisecond
)

// Session is one caller's session on a route. It is not safe for concurrent use.
type Session struct {
	dispatcher *Dispatcher
	routeName  string
	salt       string
	state      statement.State
	settings   map[string]string
	prepared   map[string]statement.Prepared
	token      session.Token
	tx         *transaction
	key        config.KeyHash
	// workspace is the workspace that held the key at the last check, zero for none.
	workspace config.Workspace
	// withdrawn is set once a statement was refused because the key was withdrawn.
	withdrawn bool
}

// Open starts a session on the route that a caller connects to, or returns why it can't. While there is no
// configuration yet, as after a start, or no proof that it shows which keys are valid, it waits for one.
func (d *Dispatcher) Open(ctx context.Context, p statement.StartupParameters) (*Session, *verdict.Error) {
	salt := strconv.FormatUint(d.sessionCount.Add(1), 36)
	s := &Session{dispatcher: d, routeName: p.Database, salt: salt, key: config.HashKey(p.User)}
	deadline, unproven := d.now().Add(openTimeout), false
	for {
		_, _, refused := d.route(s.routeName)
		if refused == nil {
			refused = s.authorize()
		}
		switch {
		case refused == nil:
			return s, nil
		case refused.Reason == verdict.Unproven && s.CheckKey() != nil:
			// A newer configuration may hold the key, but callers with unknown keys must not take up the wait.
			return nil, refused
		case refused.Reason == verdict.Unproven && !unproven:
			unproven = true
			if proofDeadline := d.now().Add(proofTimeout); proofDeadline.Before(deadline) {
				deadline = proofDeadline
			}
		case refused.Reason != verdict.Unproven && refused.Reason != verdict.Unconfigured:
			return nil, refused
		}
		if !d.now().Before(deadline) || ctx.Err() != nil {
			return nil, refused
		}
		_ = clock.Wait(ctx, d.options.Clock, openPollInterval)
	}
}

// State returns the session's transaction state.
func (s *Session) State() statement.State { return s.state }

// IdleLimit returns how long the session's open transaction may stay idle, 0 if there is no limit or no open transaction.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil {
		return 0
	}
	return s.tx.idleLimit
}

// Run runs a request and returns its answer.
func (s *Session) Run(ctx context.Context, r statement.Request) statement.Answer {
	started := s.dispatcher.now()
	a := s.run(ctx, r)
	if a.Failure != nil && a.Failure.Reason == verdict.Unauthorized && !s.withdrawn {
		s.Withdraw()
	}
	a.State = s.state
	countAnswer(r.Kind, a.Failure, s.dispatcher.now().Sub(started))
	return a
}

func (s *Session) run(ctx context.Context, r statement.Request) statement.Answer {
	if s.state == statement.Failed && r.Kind != statement.Commit && r.Kind != statement.Rollback {
		return s.malformed("transaction has failed and can only be committed or rolled back")
	}
	if s.withdrawn && s.state == statement.Idle {
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.Unauthorized, "key of the session was withdrawn"), s.state)
	}
	if s.state != statement.Failed && needsAuthorization(r.Kind) {
		if refused := s.authorize(); refused != nil {
			return s.refuseUnauthorized(r, refused)
		}
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

// set stores a setting. It is applied to a connection before the session's next statement there.
func (s *Session) set(r statement.Request) statement.Answer {
	if _, known := s.settings[r.Name]; !known && len(s.settings) >= maxSettings {
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.Oversized, "session already has %d settings, the maximum", maxSettings), s.state)
	}
	next := maps.Clone(s.settings)
	if next == nil {
		next = make(map[string]string)
	}
	next[r.Name] = r.Value
	s.settings = next
	if s.tx != nil {
		s.tx.settingsChanged = true
	}
	return statement.Answer{}
}

// prepare stores a statement. It is prepared on a connection before its first use there.
func (s *Session) prepare(r statement.Request) statement.Answer {
	if len(s.prepared) >= maxPreparedStatements {
		return statement.Refusal(verdict.New(verdict.NotRun, verdict.Oversized, "session already has %d prepared statements, the maximum", maxPreparedStatements), s.state)
	}
	if s.prepared == nil {
		s.prepared = make(map[string]statement.Prepared)
	}
	s.prepared[r.Name] = statement.NewPrepared(r.Value, r.Writes)
	return statement.Answer{}
}

// execute runs a read or a write, inside or outside a transaction.
func (s *Session) execute(ctx context.Context, r statement.Request) statement.Answer {
	j := job{request: r}
	if r.Kind == statement.Execute {
		known, ok := s.prepared[r.Name]
		if !ok {
			return statement.Refusal(verdict.New(verdict.NotRun, verdict.Unprepared, "no prepared statement is named %s", r.Name), s.state)
		}
		j.prepared = known
		j.request.Name, j.request.Writes = known.Name(), known.Writes()
	}
	if s.tx != nil {
		return s.runInTransaction(ctx, j)
	}
	return s.runSingle(ctx, j)
}

// job is a caller's statement that needs an endpoint, with its prepared statement if it executes one.
type job struct {
	request  statement.Request
	prepared statement.Prepared
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.rollbackInBackground()
		s.tx = nil
	}
	s.state = statement.Idle
}

// Abort rolls back an open transaction and marks it as failed. The caller learns of it from the answer to its next
// request.
func (s *Session) Abort(why string) {
	if s.tx == nil {
		return
	}
	s.tx.abort(why)
	s.state = statement.Failed
}

// bounds returns the timeout, target latency and priority of a route.
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
