package connection

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/event"
	"siskincove/verdict"
)

// maxRedialPause is the longest pause between two attempts to reach an endpoint that statements ask for. It adds to the
// length of an outage.
const maxRedialPause = 250 * time.Millisecond

// checkReachable returns an error if the last attempts to connect to the endpoint failed and no connection of the workspace is
// left that works. Statements then need not wait for an attempt: one is made in the background when it is due.
func (p *Pool) checkReachable(workspace string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Clock.Now()
	if !p.circuit.Failed() || p.hasIdle(workspace) {
		return nil
	}
	if silent := now.Before(p.unreachableUntil); !silent && p.usage.of(workspace).inUse > 0 {
		// The endpoint answers, and its refusal of more connections does not concern those in use.
		return nil
	}
	if p.circuit.Allows(now) {
		p.startRedial(workspace)
	}
	return unreachable(max(p.circuit.Remaining(now), p.limits().connect))
}

func unreachable(retryAfter time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint can't be reached").WithRetryAfter(retryAfter)
}

// startRedial attempts to connect on behalf of a workspace in the background, unless an attempt is under way. p.mu must be held.
func (p *Pool) startRedial(workspace string) {
	select {
	case <-p.redialDone:
	default:
		return
	}
	if p.closed {
		return
	}
	done := make(chan struct{})
	p.redialDone = done
	go func() {
		defer close(done)
		p.redial(p.ctx, workspace)
	}()
}

// redial opens a connection and stores it as idle, unless the pool has reached its limit.
func (p *Pool) redial(ctx context.Context, workspace string) {
	select {
	case p.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.dialSlots }()
	p.mu.Lock()
	began, limits, reserved := p.options.Clock.Now(), p.limits(), p.reserve(workspace)
	p.mu.Unlock()
	if !reserved {
		return
	}
	conn, err := p.connect(ctx, workspace, limits)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.recordDialSuccess(conn, began)
		p.keepIdle(&PooledConn{Conn: conn, pool: p, workspace: workspace})
		return
	}
	p.freePlace(workspace)
	if ctx.Err() == nil {
		p.recordDialFailure(workspace, err, true)
	}
}

// recordDialFailure updates the circuit after a failed attempt to connect. If the endpoint had the full time to answer and did
// not, the next attempt is started at once, over a detour. A failure of the lending instances does not count. p.mu must be held.
func (p *Pool) recordDialFailure(workspace string, err error, fullTime bool) {
	now := p.options.Clock.Now()
	p.options.Logger.Log(event.ConnectionFailed, log.Fields{
		"endpoint": p.options.Endpoint.Name, "address": p.options.Endpoint.Address, "error": err.Error(),
	})
	if errors.Is(err, ErrLender) {
		// The holders of other workspaces' connections may be well.
		return
	}
	if p.isRefusedAsFull(err) {
		p.ceiling = p.ceiling.withRefusal(now)
		return
	}
	if !fullTime || !isNetworkFailure(err) {
		p.circuit = p.circuit.WithFailure(now)
		return
	}
	first := !p.circuit.Failed()
	p.circuit = p.circuit.WithSilence(now)
	if first && p.options.Detour != nil {
		p.startRedial(workspace)
	}
}

// isCutShort reports whether an attempt to connect ended with its statement's deadline, before the endpoint had the full time to
// answer. The endpoint may then be busy.
func (p *Pool) isCutShort(err error, limits, bounded dialLimits, deadline time.Time) bool {
	return p.options.ByWorkspace && bounded != limits && !p.options.Clock.Now().Before(deadline) && !errors.Is(err, ErrLender)
}

// recordDialSuccess records that an attempt to connect that began at a time has reached the endpoint. p.mu must be held.
func (p *Pool) recordDialSuccess(conn Conn, began time.Time) {
	p.circuit, p.ceiling = p.circuit.WithSuccess(), p.ceiling.withSuccess(began)
	p.recordRoundTrip(conn.RoundTrip())
	p.countOpened()
	p.options.Logger.Log(event.ConnectionOpened, log.Fields{"endpoint": p.options.Endpoint.Name})
}
