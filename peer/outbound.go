package peer

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"siskincove/meter"
)

// maxIdleStreams bounds the idle streams to one peer that are kept for reuse.
const maxIdleStreams = 64

// outbound is a connection dialled by this node and shared by all streams to that address.
type outbound struct {
	mu sync.Mutex
	// attempt is the dial attempt in progress, or nil.
	attempt *dialAttempt
	session *yamux.Session
	idle    []*remoteStream
	closed  bool
	// traffic, if not nil, counts what is sent and received.
	traffic *meter.Traffic
	// findDistance returns the distance of the peer; knownDistance is its last result.
	findDistance  func() meter.Distance
	knownDistance atomic.Pointer[meter.Distance]
}

// liveSession returns the session, or nil if there is none or it is closed.
func (o *outbound) liveSession() *yamux.Session {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session == nil || o.session.IsClosed() {
		return nil
	}
	return o.session
}

// dialAttempt is a dial shared by all callers that wait for it. Its result is set once done is closed.
type dialAttempt struct {
	done    chan struct{}
	session *yamux.Session
	err     error
}

// joinAttempt returns the attempt in progress, or creates one and starts it with begin.
func (o *outbound) joinAttempt(begin func(*dialAttempt)) *dialAttempt {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempt == nil {
		o.attempt = &dialAttempt{done: make(chan struct{})}
		begin(o.attempt)
	}
	return o.attempt
}

// finishAttempt wakes the callers that wait for an attempt.
func (o *outbound) finishAttempt(a *dialAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.attempt = nil
	close(a.done)
}

// dial connects to the address and starts a yamux session, unless one is open.
func (o *outbound) dial(ctx context.Context, connector Connector, address string) (*yamux.Session, error) {
	if session := o.liveSession(); session != nil {
		return session, nil
	}
	conn, err := connector.dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	session, err := yamux.Client(wrapConn(o.recordLink(conn)), yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "starting yamux session")
	}
	return session, o.setSession(session)
}

var errClosed = errors.New("peer connection was closed")

func (o *outbound) setSession(session *yamux.Session) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		_ = session.Close()
		return errClosed
	}
	o.session = session
	o.idle = nil
	return nil
}

// takeIdle returns an idle stream of the open session, or nil.
func (o *outbound) takeIdle() *remoteStream {
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

// putIdle stores a stream for reuse. It returns false if there are maxIdleStreams already or the session is closed.
func (o *outbound) putIdle(r *remoteStream) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || o.session == nil || o.session.IsClosed() || len(o.idle) >= maxIdleStreams {
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
