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
	// dialTimeout bounds a new connection: some round trips between regions and the endpoint's work for it.
	dialTimeout = 400 * time.Millisecond
	// dialTrips is what a new connection takes of round trips, and one more.
	dialTrips = 4
	// detourMemory is how long the direct way is not tried first after it was cut; cuts of some seconds are common.
	detourMemory = 3 * time.Second
)

// connect makes a connection directly, or by way of another instance while the direct way is cut.
func (p *Pool) connect(ctx context.Context, deadline time.Time) (Conn, error) {
	p.mu.Lock()
	cut := p.options.Detour != nil && p.options.Clock.Now().Before(p.cutUntil)
	timeout := dialTimeout + dialTrips*p.roundTrip
	p.mu.Unlock()
	if cut {
		if conn, err := p.around(ctx, deadline); err == nil {
			return conn, nil
		}
	}
	bounded, cancel := context.WithTimeout(ctx, min(timeout, deadline.Sub(p.options.Clock.Now())))
	defer cancel()
	conn, err := p.options.Dialer.Dial(bounded, p.options.Endpoint)
	if err == nil || cut || p.options.Detour == nil || !isCut(err) {
		return conn, err
	}
	p.mu.Lock()
	p.cutUntil = p.options.Clock.Now().Add(detourMemory)
	p.mu.Unlock()
	if conn, detourErr := p.around(ctx, deadline); detourErr == nil {
		return conn, nil
	}
	return nil, err
}

// isCut reports whether a connection failed on the way: nothing answered at all. An endpoint that is there may be slow to
// start a session, since it needs a slot for that.
func isCut(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial" && !errors.Is(err, syscall.ECONNREFUSED)
}

// around makes a connection by way of another instance.
func (p *Pool) around(ctx context.Context, deadline time.Time) (Conn, error) {
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
		p.cutUntil = p.options.Clock.Now().Add(detourMemory)
		p.mu.Unlock()
	}
	return conn, err
}
