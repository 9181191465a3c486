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
	// directRetryDelay is how long a detour is preferred after the direct path failed. Outages of a few seconds are
	// common.
	directRetryDelay = 3 * time.Second
)

// connect opens a connection directly, or through another instance while the direct path fails.
func (p *Pool) connect(ctx context.Context, deadline time.Time) (Conn, error) {
	p.mu.Lock()
	preferDetour := p.options.Detour != nil && p.options.Clock.Now().Before(p.unreachableUntil)
	timeout := dialTimeout + dialRoundTrips*p.roundTrip
	p.mu.Unlock()
	if preferDetour {
		if conn, err := p.dialDetour(ctx, deadline); err == nil {
			return conn, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, min(timeout, deadline.Sub(p.options.Clock.Now())))
	defer cancel()
	conn, err := p.options.Dialer.Dial(dialCtx, p.options.Endpoint)
	if err == nil || preferDetour || p.options.Detour == nil || !isNetworkFailure(err) {
		return conn, err
	}
	p.mu.Lock()
	p.unreachableUntil = p.options.Clock.Now().Add(directRetryDelay)
	p.mu.Unlock()
	if conn, detourErr := p.dialDetour(ctx, deadline); detourErr == nil {
		return conn, nil
	}
	return nil, err
}

// isNetworkFailure reports whether a dial failed without any response. A timeout later in the startup does not count: a
// reachable endpoint may be slow to start a session, since it needs a free slot for it.
func isNetworkFailure(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && !errors.Is(err, syscall.ECONNREFUSED)
}

// dialDetour opens a connection through another instance.
func (p *Pool) dialDetour(ctx context.Context, deadline time.Time) (Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, deadline.Sub(p.options.Clock.Now())))
	defer cancel()
	link, err := p.options.Detour(ctx, p.options.Endpoint)
	if err != nil {
		return nil, err
	}
	conn, err := p.options.Dialer.DialOver(ctx, p.options.Endpoint, link)
	if err == nil {
		p.options.Logger.Log(event.DetourTaken, log.Fields{"endpoint": p.options.Endpoint.Name, "by": link.RemoteAddr().String()})
		p.mu.Lock()
		p.unreachableUntil = p.options.Clock.Now().Add(directRetryDelay)
		p.mu.Unlock()
	}
	return conn, err
}
