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
	// dialling is held while a connection is made, so that one is made at a time.
	dialling sync.Mutex

	mu      sync.Mutex
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

// dial returns the session to the address, which it makes if there is none.
func (o *outbound) dial(ctx context.Context, connector Connector, address string) (*yamux.Session, error) {
	if session := o.current(); session != nil {
		return session, nil
	}
	o.dialling.Lock()
	defer o.dialling.Unlock()
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
