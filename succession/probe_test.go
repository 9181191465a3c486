package succession

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/connection"
	"siskincove/endpoint"
	"siskincove/statement"
)

// remoteEndpoint is an endpoint with a given round-trip time. It refuses connections while refusing is set.
type remoteEndpoint struct {
	roundTrip time.Duration
	refusing  atomic.Bool
	dials     atomic.Int32
}

func (remote *remoteEndpoint) Dial(ctx context.Context, _ connection.Target, _ time.Duration) (connection.Conn, error) {
	remote.dials.Add(1)
	if remote.refusing.Load() {
		return nil, syscall.ECONNREFUSED
	}
	const handshake = 3
	if err := clock.Wait(ctx, clock.System{}, handshake*remote.roundTrip); err != nil {
		return nil, err
	}
	return &remoteConn{endpoint: remote, broken: make(chan struct{})}, nil
}

func (remote *remoteEndpoint) DialOver(ctx context.Context, e connection.Target, _ net.Conn) (connection.Conn, error) {
	return remote.Dial(ctx, e, 0)
}

type remoteConn struct {
	endpoint *remoteEndpoint
	broken   chan struct{}
}

func (c *remoteConn) RoundTrip() time.Duration { return c.endpoint.roundTrip }

func (c *remoteConn) Broken() <-chan struct{} { return c.broken }

func (c *remoteConn) Close() {}

func (c *remoteConn) Exchange(ctx context.Context, deadline time.Time, _ ...statement.Step) ([]statement.Answer, error) {
	if time.Until(deadline) < c.endpoint.roundTrip {
		return nil, context.DeadlineExceeded
	}
	err := clock.Wait(ctx, clock.System{}, c.endpoint.roundTrip)
	return []statement.Answer{{Status: &endpoint.PlatformStatus{Role: endpoint.Primary}}}, err
}

// TestProbeDistantEndpoint guards against endpoints in distant regions counting as unresponsive: opening a connection
// there takes longer than the timeout of a probe, so the dial must outlast the probe.
func TestProbeDistantEndpoint(t *testing.T) {
	const timeout = 50 * time.Millisecond
	tests := map[string]struct {
		roundTrip time.Duration
	}{
		"near":     {roundTrip: time.Millisecond},
		"far":      {roundTrip: 40 * time.Millisecond},
		"very far": {roundTrip: 120 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			remote := &remoteEndpoint{roundTrip: test.roundTrip}
			ctx, cancel := context.WithCancel(context.Background())
			p := newProber(ctx, remote, clock.System{})
			defer p.close()
			defer cancel()
			answered := false
			for end := time.Now().Add(dialTimeout); !answered && time.Now().Before(end); {
				answered = p.query(ctx, config.Endpoint{Name: "e"}, statement.ProxyStep(statement.Status), timeout).Answered
			}
			if !answered {
				t.Errorf("no probe was answered within %s", dialTimeout)
			}
			if diff := cmp.Diff(int32(1), remote.dials.Load()); diff != "" {
				t.Errorf("dials: %s", diff)
			}
		})
	}
}

// TestProbeRefusedConnection checks that a refused connection is reported without waiting for the timeout.
func TestProbeRefusedConnection(t *testing.T) {
	remote := &remoteEndpoint{}
	remote.refusing.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	p := newProber(ctx, remote, clock.System{})
	defer p.close()
	defer cancel()
	got := p.query(ctx, config.Endpoint{Name: "e"}, statement.ProxyStep(statement.Status), time.Second)
	if diff := cmp.Diff(ProbeResult{Endpoint: "e", Refused: true}, got); diff != "" {
		t.Error(diff)
	}
}
