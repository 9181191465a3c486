package peer

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// keptMaximum bounds the streams to one peer that wait for their next exchange.
const keptMaximum = 64

// outbound is a connection that this node dials, shared by all streams to that address.
type outbound struct {
	mu sync.Mutex
	// attempt is the connection that is being made, nil for none.
	attempt *attempt
	session *yamux.Session
	idle    []*remote
	closed  bool
}

func (o *outbound) current() *yamux.Session {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session == nil || o.session.IsClosed() {
		return nil
	}
	return o.session
}

// attempt is a connection that is being made; its result is there once done is closed.
type attempt struct {
	done    chan struct{}
	session *yamux.Session
	err     error
}

// join returns the attempt that is under way, or begins one that ends with a context.
func (o *outbound) join(begin func(*attempt)) *attempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempt == nil {
		o.attempt = &attempt{done: make(chan struct{})}
		begin(o.attempt)
	}
	return o.attempt
}

// end hands an attempt's result to those who wait for it.
func (o *outbound) end(a *attempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempt = nil
	close(a.done)
}

// dial makes a session to the address.
func (o *outbound) dial(ctx context.Context, connector Connector, address string) (*yamux.Session, error) {
	if session := o.current(); session != nil {
		return session, nil
	}
	conn, err := connector.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	session, err := yamux.Client(joined(conn), config())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer")
	}
	return session, o.take(session)
}

var errDropped = errors.New("connection was dropped")

func (o *outbound) take(session *yamux.Session) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		_ = session.Close()
		return errDropped
	}
	o.session = session
	o.idle = nil
	return nil
}

// kept returns a stream that was released, nil when there is none whose session still stands.
func (o *outbound) kept() *remote {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session == nil || o.session.IsClosed() || len(o.idle) == 0 {
		o.idle = nil
		return nil
	}
	last := o.idle[len(o.idle)-1]
	o.idle = o.idle[:len(o.idle)-1]
	return last
}

// keep takes back a stream, and reports false when there is no room or its session is gone.
func (o *outbound) keep(r *remote) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.session == nil || o.session.IsClosed() || len(o.idle) >= keptMaximum {
		return false
	}
	o.idle = append(o.idle, r)
	return true
}

func (o *outbound) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.idle = nil
	if o.session != nil {
		_ = o.session.Close()
	}
}
