package loan

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/connection"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// responseMarginShare is the share of the borrower's remaining time that is reserved for sending the answers back;
	// at most responseMarginMax is reserved.
	responseMarginShare = 0.1
	responseMarginMax   = 30 * time.Millisecond
	// workspaceMargin is the least that is reserved for a workspace's loan, up to half of the remaining time. Its holder may be in
	// another region, and an answer that comes too late hides that the endpoint was slow.
	workspaceMargin = 20 * time.Millisecond
	// idleGrace is added to the idle timeout of a transaction at the holder, so that the borrower ends it first.
	idleGrace = 2 * time.Second
	// rollbackTimeout bounds a rollback; after it the connection is closed, which also rolls back.
	rollbackTimeout = time.Second
)

// loan is the holder's side of a borrowed connection: its settings and prepared statements, and the pooled connection that
// serves it during an exchange or while a transaction is open.
type loan struct {
	lender  *Lender
	request *wire.Loan

	sendMu sync.Mutex
	stream peer.Stream

	settings map[string]string
	// prepared maps the borrower's names to statements. Those of older builds don't tell all texts apart.
	prepared map[string]statement.Prepared
	pool     *connection.Pool
	conn     *connection.PooledConn
	acquired time.Time
	// settingsChanged is set if the settings changed while a transaction was open on conn.
	settingsChanged bool
}

// flow returns the flow in which the loan's statements wait: those of its workspace, or else of the borrower, share the slots
// evenly with others.
func (l *loan) flow() string { return cmp.Or(l.request.GetWorkspace(), l.request.GetBorrower()) }

func (l *loan) send(r *wire.Results) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(&wire.Frame{Body: &wire.Frame_Results{Results: r}})
}

// run serves exchanges until the stream ends or the connection to the endpoint is lost.
func (l *loan) run(ctx context.Context) {
	defer l.rollBackOpen()
	for {
		steps, ok := l.receive()
		if !ok {
			return
		}
		r := l.exchange(ctx, steps)
		if l.send(r) != nil || r.GetBroken() {
			return
		}
	}
}

// receive waits for the next exchange. While a transaction is open, the wait is bounded by the idle timeout.
func (l *loan) receive() (*wire.Steps, bool) {
	if idle := l.lender.options.IdleTimeout(); l.conn != nil && idle > 0 {
		timer := time.AfterFunc(idle+idleGrace, func() { _ = l.stream.Close() })
		defer timer.Stop()
	}
	frame, err := l.stream.Receive()
	return frame.GetSteps(), err == nil && frame.GetSteps() != nil
}

// exchange runs the steps of a request at the endpoint and returns all results. Steps that only change session state are
// recorded here instead and applied to the pooled connection when it next runs other steps.
func (l *loan) exchange(ctx context.Context, request *wire.Steps) *wire.Results {
	steps := make([]statement.Step, 0, len(request.GetSteps()))
	endpointSteps := make([]statement.Step, 0, len(request.GetSteps()))
	var needed []statement.Prepared
	guard := 0
	for i, m := range request.GetSteps() {
		s := fromStep(m)
		steps = append(steps, s)
		if l.applySessionStep(s) {
			continue
		}
		if p, known := l.prepared[s.Name]; known && s.Kind == statement.Execute {
			s.Name = p.Name()
			needed = append(needed, p)
		}
		endpointSteps = append(endpointSteps, s)
		if i < int(request.GetGuard()) {
			guard = len(endpointSteps)
		}
	}
	answers, broken := l.runSteps(ctx, endpointSteps, needed, guard, request)
	out := &wire.Results{Broken: broken, Retired: l.conn == nil && !l.available(), Crowded: l.isCrowded()}
	for _, s := range steps {
		switch {
		case isSessionStep(s.Kind):
			out.Results = append(out.Results, toResult(statement.Answer{State: l.state()}))
		case len(answers) == 0:
			return out
		default:
			out.Results = append(out.Results, toResult(answers[0]))
			answers = answers[1:]
		}
	}
	return out
}

// isSessionStep reports whether steps of a kind only change session state: settings and prepared statements.
func isSessionStep(k statement.Kind) bool {
	return k == statement.Reset || k == statement.Set || k == statement.Prepare
}

// applySessionStep records the change that a step makes to the session state. It returns false for steps of other kinds.
func (l *loan) applySessionStep(s statement.Step) bool {
	switch s.Kind {
	case statement.Reset:
		l.settings, l.prepared = nil, nil
	case statement.Set:
		if l.settings == nil {
			l.settings = make(map[string]string)
		}
		l.settings[s.Name] = s.Value
	case statement.Prepare:
		if l.prepared == nil {
			l.prepared = make(map[string]statement.Prepared)
		}
		l.prepared[s.Name] = statement.NewPrepared(s.Value, s.Writes)
	default:
		return false
	}
	l.settingsChanged = l.settingsChanged || l.conn != nil && s.Kind != statement.Prepare
	return true
}

func (l *loan) state() statement.State {
	if l.conn != nil {
		return statement.Open
	}
	return statement.Idle
}

// runSteps runs steps on a pooled connection once it has the borrower's settings and the needed statements, those after the first guard
// steps only if all of these succeeded. It returns true if the connection was lost before every step was answered.
func (l *loan) runSteps(ctx context.Context, steps []statement.Step, needed []statement.Prepared, guard int, request *wire.Steps) ([]statement.Answer, bool) {
	if len(steps) == 0 {
		return nil, false
	}
	now := l.lender.options.Clock.Now()
	remaining := peer.Duration(request.GetRemaining())
	margin := l.responseMargin(remaining)
	deadline := now.Add(remaining - margin)
	begins := l.conn == nil
	if begins {
		demand := connection.Demand{
			Workspace: l.request.GetWorkspace(), Settings: l.settings, Deadline: deadline, Flow: l.flow(),
			Class: limit.Class{Name: request.GetClass(), Weight: int(request.GetWeight())},
		}
		if aim := request.GetAim(); aim != 0 {
			demand.Target = now.Add(time.Duration(aim)*time.Microsecond - margin)
		}
		if err := l.acquire(ctx, demand); err != nil {
			l.lender.options.Logger.Log(event.LoanRefused, log.Fields{
				"endpoint": l.request.GetEndpoint(), "request": requestID(steps), "error": err.Error(), "remaining": remaining.String(),
			})
			return refusals(err, len(steps), statement.Idle), false
		}
	}
	setup := l.conn.Setup(l.settings, needed...)
	if guard >= len(steps) {
		guard = 0
	}
	answers, err := l.conn.ExchangeGuarded(ctx, deadline, len(setup)+guard, append(setup, steps...)...)
	if refused := connection.NotSent(answers, len(setup)); refused != nil && err == nil {
		return refusals(refused.Failure, len(steps), l.endRefused(begins, answers[len(answers)-1].State)), false
	}
	answers = answers[min(len(setup), len(answers)):]
	switch {
	case begins && errors.Is(err, connection.ErrUnsent) && len(answers) == 0:
		l.release(false)
		lost := verdict.New(verdict.NotRun, verdict.Broken, "connection to the endpoint was lost before the statement").WithCause(err)
		return refusals(lost, len(steps), statement.Idle), false
	case err != nil:
		l.release(false)
		return answers, true
	case answers[len(answers)-1].State == statement.Idle:
		l.release(true)
	default:
		l.conn.MarkIdleInTransaction()
	}
	return answers, false
}

// endRefused ends an exchange whose steps were not sent, and returns the state of the loan. What the exchange has begun is rolled back,
// since the borrower takes it for refused; an earlier transaction stays open.
func (l *loan) endRefused(begins bool, state statement.State) statement.State {
	switch {
	case state == statement.Idle:
		l.release(true)
	case begins:
		l.rollBackOpen()
		return statement.Idle
	default:
		l.conn.MarkIdleInTransaction()
	}
	return state
}

// responseMargin returns how much of the borrower's remaining time is reserved for sending the answers back.
func (l *loan) responseMargin(remaining time.Duration) time.Duration {
	margin := min(time.Duration(responseMarginShare*float64(remaining)), responseMarginMax)
	if l.request.GetWorkspace() != "" {
		margin = max(margin, min(workspaceMargin, remaining/2))
	}
	return margin
}

// acquire takes a connection from the endpoint's pool. Its errors have the verdict verdict.NotRun.
func (l *loan) acquire(ctx context.Context, demand connection.Demand) error {
	pool, ok := l.lender.options.Pool(l.request)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.Leaving, "instance does not hold connections to %s", l.request.GetEndpoint())
	}
	conn, err := pool.Acquire(ctx, demand)
	if err != nil {
		return err
	}
	if _, ok := l.lender.options.Pool(l.request); !ok {
		// The endpoint may have started to leave while the request was waiting.
		pool.Release(conn, true, 0)
		return verdict.New(verdict.NotRun, verdict.Leaving, "instance no longer lends connections to %s", l.request.GetEndpoint())
	}
	l.pool, l.conn, l.acquired, l.settingsChanged = pool, conn, l.lender.options.Clock.Now(), false
	return nil
}

// requestID returns the ID of the caller's statement among the steps, or "" if the proxy generated all of them.
func requestID(steps []statement.Step) string {
	for _, s := range steps {
		if s.ID != "" {
			return s.ID
		}
	}
	return ""
}

// refusals returns one failed answer per step, for steps that were not run.
func refusals(err error, steps int, state statement.State) []statement.Answer {
	out := make([]statement.Answer, steps)
	for i := range out {
		out[i] = statement.Refusal(verdict.From(err), state)
	}
	return out
}

// available reports whether the borrower may send more exchanges.
func (l *loan) available() bool {
	_, holds := l.lender.options.Pool(l.request)
	return holds && !l.lender.isDraining()
}

// isCrowded reports whether the loan's workspace alone needs more than this holder can serve.
func (l *loan) isCrowded() bool {
	pool, ok := l.lender.options.Pool(l.request)
	return ok && l.request.GetWorkspace() != "" && pool.Crowded(l.request.GetWorkspace())
}

// release returns the connection to its pool.
func (l *loan) release(reuse bool) {
	if l.settingsChanged {
		l.conn.MarkUncertain()
	}
	l.pool.Release(l.conn, reuse, l.lender.options.Clock.Now().Sub(l.acquired))
	l.conn = nil
}

// rollBackOpen rolls back an open transaction and returns its connection to the pool.
func (l *loan) rollBackOpen() {
	if l.conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	deadline := l.lender.options.Clock.Now().Add(rollbackTimeout)
	answers, err := l.conn.Exchange(ctx, deadline, statement.ProxyStep(statement.Rollback))
	l.release(err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle)
}
