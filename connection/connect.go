package connection

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/event"
)

const (
	// dialTimeout bounds opening a connection: a few round trips between regions and the endpoint's own work. Further
	// round trips are added once their time is known.
	dialTimeout = 400 * time.Millisecond
	// dialRoundTrips is one more than the three round trips that opening a connection takes.
	dialRoundTrips = 4
	// connectRoundTrips and connectMargin bound the wait for the first answer of an endpoint that answered before. An
	// endpoint answers a TCP connection request within one round trip however busy it is.
	connectRoundTrips = 4
	connectMargin     = 40 * time.Millisecond
	// directRetryDelay is how long a detour is preferred after the direct path failed. Outages of a few seconds are
	// common.
	directRetryDelay = 3 * time.Second
	// openTimeSmoothing is the weight of the newest sample in the mean time to open a connection.
	openTimeSmoothing = 0.1
)

// connect opens a connection directly, or through another instance first if the direct path failed recently.
func (p *Pool) connect(ctx context.Context, workspace string, limits dialLimits) (Conn, error) {
	target := Target{Endpoint: p.options.Endpoint, Workspace: workspace}
	p.mu.Lock()
	preferDetour := p.options.Detour != nil && p.options.Clock.Now().Before(p.unreachableUntil)
	p.mu.Unlock()
	if preferDetour {
		if conn, err := p.dialDetour(ctx, target, limits); err == nil {
			return conn, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, limits.total)
	defer cancel()
	conn, err := p.options.Dialer.Dial(dialCtx, target, limits.connect)
	if isNetworkFailure(err) && ctx.Err() == nil {
		p.mu.Lock()
		p.unreachableUntil = p.options.Clock.Now().Add(directRetryDelay)
		p.mu.Unlock()
	}
	return conn, err
}

// ReachableDirectly reports whether the direct path to the endpoint has not failed recently.
func (p *Pool) ReachableDirectly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.options.Clock.Now().Before(p.unreachableUntil)
}

// ConnectTimeout returns how long the endpoint's address may take to answer a connection request.
func (p *Pool) ConnectTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits().connect
}

// dialLimits bound the opening of a connection: the time until the endpoint's address answers, and the total time.
type dialLimits struct {
	connect, total time.Duration
}

// limits returns the limits for the next connection. p.mu must be held.
func (p *Pool) limits() dialLimits {
	total := dialTimeout + dialRoundTrips*p.roundTrip
	if p.roundTrip == 0 {
		return dialLimits{connect: total, total: total}
	}
	return dialLimits{connect: min(connectRoundTrips*p.roundTrip+connectMargin, total), total: total}
}

// until returns the limits reduced to the remaining time.
func (l dialLimits) until(remaining time.Duration) dialLimits {
	return dialLimits{connect: min(l.connect, remaining), total: min(l.total, remaining)}
}

// isNetworkFailure reports whether a dial failed without any response. A timeout later in the startup does not count: a
// reachable endpoint may be slow to start a session, since it needs a free slot for it.
func isNetworkFailure(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && !errors.Is(err, syscall.ECONNREFUSED)
}

// dialDetour opens a connection through another instance.
func (p *Pool) dialDetour(ctx context.Context, target Target, limits dialLimits) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limits.total)
	defer cancel()
	link, err := p.options.Detour(ctx, p.options.Endpoint)
	if err != nil {
		return nil, err
	}
	conn, err := p.options.Dialer.DialOver(ctx, target, link)
	if err == nil {
		p.options.Logger.Log(event.DetourTaken, log.Fields{"endpoint": p.options.Endpoint.Name, "by": link.RemoteAddr().String()})
		p.mu.Lock()
		p.unreachableUntil = p.options.Clock.Now().Add(directRetryDelay)
		p.mu.Unlock()
	}
	return conn, err
}

// recordOpenTime updates the mean time to open a connection. p.mu must be held.
func (p *Pool) recordOpenTime(took time.Duration) {
	if p.openTime == 0 {
		p.openTime = took
		return
	}
	p.openTime += time.Duration(openTimeSmoothing * float64(took-p.openTime))
}
