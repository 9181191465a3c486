package loan

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"siskincove/connection"
	"siskincove/event"
	"siskincove/limit"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/statement"
	"siskincove/verdict"
)

const (
	// marginShare and marginMaximum are left of a borrower's time for the answer's way back.
	marginShare   = 0.1
	marginMaximum = 30 * time.Millisecond
	// idleGrace is how much longer than its own bound an idle transaction is kept: the borrower ends it first.
	idleGrace = 2 * time.Second
	// rollbackTimeout bounds a rollback, after which the connection is closed, which rolls back too.
	rollbackTimeout = time.Second
)

// shape is a prepared statement of the borrower.
type shape struct {
	text   string
	writes bool
}

// loan is one borrower's connection as its holder keeps it: the settings and statements that it should have, and the real
// connection while a transaction is open.
type loan struct {
	lender *Lender
	asked  *wire.Loan

	sending sync.Mutex
	stream  peer.Stream

	settings map[string]string
	prepared map[string]shape
	pool     *connection.Pool
	held     *connection.Held
	since    time.Time
	// changed is set when the settings changed while a transaction was open.
	changed bool
}

func (o *loan) send(r *wire.Results) error {
	o.sending.Lock()
	defer o.sending.Unlock()
	return o.stream.Send(&wire.Frame{Body: &wire.Frame_Results{Results: r}})
}

// run serves exchanges until the stream ends or the real connection is lost.
func (o *loan) run(ctx context.Context) {
	defer o.end()
	for {
		steps, ok := o.receive()
		if !ok {
			return
		}
		r := o.exchange(ctx, steps)
		if o.send(r) != nil || r.GetBroken() {
			return
		}
	}
}

// receive waits for the next exchange; while a transaction is open no longer than that may be idle.
func (o *loan) receive() (*wire.Steps, bool) {
	if idle := o.lender.options.Idle(); o.held != nil && idle > 0 {
		timer := time.AfterFunc(idle+idleGrace, func() { _ = o.stream.Close() })
		defer timer.Stop()
	}
	frame, err := o.stream.Receive()
	return frame.GetSteps(), err == nil && frame.GetSteps() != nil
}

// exchange runs the steps that are the endpoint's and keeps what the others say the connection should be like.
func (o *loan) exchange(ctx context.Context, asked *wire.Steps) *wire.Results {
	steps := make([]statement.Step, 0, len(asked.GetSteps()))
	theirs := make([]statement.Step, 0, len(asked.GetSteps()))
	for _, m := range asked.GetSteps() {
		s := fromStep(m)
		steps = append(steps, s)
		if !o.keep(s) {
			theirs = append(theirs, s)
		}
	}
	answers, broken := o.perform(ctx, theirs, asked)
	out := &wire.Results{Broken: broken, Retired: o.held == nil && !o.mayGoOn()}
	for _, s := range steps {
		switch {
		case virtual(s.Kind):
			out.Results = append(out.Results, toResult(statement.Answer{State: o.state()}))
		case len(answers) == 0:
			return out
		default:
			out.Results = append(out.Results, toResult(answers[0]))
			answers = answers[1:]
		}
	}
	return out
}

// virtual reports whether steps of a kind only say what the connection should be like.
func virtual(k statement.Kind) bool {
	return k == statement.Reset || k == statement.Set || k == statement.Prepare
}

// keep takes in what a virtual step says; it reports false for other steps.
func (o *loan) keep(s statement.Step) bool {
	switch s.Kind {
	case statement.Reset:
		o.settings, o.prepared = nil, nil
	case statement.Set:
		if o.settings == nil {
			o.settings = make(map[string]string)
		}
		o.settings[s.Name] = s.Value
	case statement.Prepare:
		if o.prepared == nil {
			o.prepared = make(map[string]shape)
		}
		o.prepared[s.Name] = shape{text: s.Value, writes: s.Writes}
	default:
		return false
	}
	o.changed = o.changed || o.held != nil && s.Kind != statement.Prepare
	return true
}

func (o *loan) state() statement.State {
	if o.held != nil {
		return statement.Open
	}
	return statement.Idle
}

// perform runs steps on a connection of the pool; it reports that the connection was lost before all had answers.
func (o *loan) perform(ctx context.Context, steps []statement.Step, asked *wire.Steps) ([]statement.Answer, bool) {
	if len(steps) == 0 {
		return nil, false
	}
	now := o.lender.options.Clock.Now()
	remaining := peer.Duration(asked.GetRemaining())
	margin := min(time.Duration(marginShare*float64(remaining)), marginMaximum)
	deadline := now.Add(remaining - margin)
	if o.held == nil {
		class := limit.Class{Name: asked.GetClass(), Weight: int(asked.GetWeight())}
		if err := o.acquire(ctx, class, deadline); err != nil {
			o.lender.options.Logger.Log(event.LoanRefused, log.Fields{
				"endpoint": o.asked.GetEndpoint(), "request": requestOf(steps), "error": err.Error(), "remaining": remaining.String(),
			})
			return refusals(err, len(steps)), false
		}
	}
	own := o.held.Fit(o.settings)
	for _, s := range steps {
		if known, ok := o.prepared[s.Name]; ok && s.Kind == statement.Execute {
			own = append(own, o.held.Prepare(s.Name, known.text, known.writes)...)
		}
	}
	answers, err := o.held.Exchange(ctx, deadline, append(own, steps...)...)
	answers = answers[min(len(own), len(answers)):]
	if err != nil {
		o.release(false)
		return answers, true
	}
	if answers[len(answers)-1].State == statement.Idle {
		o.release(true)
	} else {
		o.held.Rest()
	}
	return answers, false
}

// acquire takes a connection of the pool; errors are verdict errors for not run.
func (o *loan) acquire(ctx context.Context, class limit.Class, deadline time.Time) error {
	pool, ok := o.lender.options.Pool(o.asked)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.Unreachable, "instance does not hold connections to %s", o.asked.GetEndpoint())
	}
	held, err := pool.Acquire(ctx, class, deadline, o.settings)
	if err != nil {
		return err
	}
	if _, ok := o.lender.options.Pool(o.asked); !ok {
		// The endpoint may have left, or be about to, since the wait began.
		pool.Release(held, true, 0)
		return verdict.New(verdict.NotRun, verdict.Leaving, "%s is not lent any more", o.asked.GetEndpoint())
	}
	o.pool, o.held, o.since, o.changed = pool, held, o.lender.options.Clock.Now(), false
	return nil
}

// requestOf returns the id of the caller's statement among steps, empty when they are all our own.
func requestOf(steps []statement.Step) string {
	for _, s := range steps {
		if s.ID != "" {
			return s.ID
		}
	}
	return ""
}

// refusals answers every step with a failure that had no effect.
func refusals(err error, steps int) []statement.Answer {
	out := make([]statement.Answer, steps)
	for n := range out {
		out[n] = statement.Refusal(verdict.From(err), statement.Idle)
	}
	return out
}

// mayGoOn reports whether the borrower may ask for more.
func (o *loan) mayGoOn() bool {
	_, holds := o.lender.options.Pool(o.asked)
	return holds && !o.lender.isLeaving()
}

// release gives the real connection back to its pool.
func (o *loan) release(reuse bool) {
	if o.changed {
		o.held.Doubt()
	}
	o.pool.Release(o.held, reuse, o.lender.options.Clock.Now().Sub(o.since))
	o.held = nil
}

// end rolls back an open transaction.
func (o *loan) end() {
	if o.held == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	until := o.lender.options.Clock.Now().Add(rollbackTimeout)
	answers, err := o.held.Exchange(ctx, until, statement.ProxyStep(statement.Rollback))
	o.release(err == nil && answers[0].Failure == nil && answers[0].State == statement.Idle)
}
