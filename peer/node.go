package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"siskincove/event"
)

const (
	dialTimeout   = 500 * time.Millisecond
	writeTimeout  = 3 * time.Second
	acceptBacklog = 4096
)

// Node is an instance's end of the connections to all its peers.
type Node struct {
	self     string
	handler  Handler
	logger   *event.Logger
	listener net.Listener
	ctx      context.Context
	mu       sync.Mutex
	sessions map[string]*outbound
	running  sync.WaitGroup
	done     chan struct{}
}

// outbound is a connection that this node dials, shared by all streams to that address.
type outbound struct {
	mu      sync.Mutex
	session *yamux.Session
}

// New returns a node that accepts peers on listener and is itself reached at the address self; it ends with ctx.
func New(ctx context.Context, listener net.Listener, self string, handler Handler, logger *event.Logger) *Node {
	n := &Node{
		self:     self,
		handler:  handler,
		logger:   logger,
		listener: listener,
		ctx:      ctx,
		sessions: make(map[string]*outbound),
		done:     make(chan struct{}),
	}
	n.running.Go(n.accept)
	go n.finish()
	return n
}

// Done is closed when every goroutine of the node has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) finish() {
	<-n.ctx.Done()
	_ = n.listener.Close()
	n.closeSessions()
	n.running.Wait()
	close(n.done)
}

func (n *Node) closeSessions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.sessions {
		o.close()
	}
}

func (o *outbound) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session != nil {
		_ = o.session.Close()
	}
}

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.EnableKeepAlive = false
	c.LogOutput = io.Discard
	return c
}

// Open starts a stream to the node at address, or to the node itself.
func (n *Node) Open(ctx context.Context, address string) (Stream, error) {
	if address == n.self {
		return n.openLocal(ctx)
	}
	session, err := n.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		n.Drop(address)
		return nil, errors.Wrapf(err, "stream to %s", address)
	}
	return newRemote(ctx, conn), nil
}

func (n *Node) openLocal(ctx context.Context) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	near, far := Pipe(ctx)
	n.running.Go(func() {
		defer cancel()
		n.serveStream(ctx, far)
	})
	return near, nil
}

func (n *Node) outbound(address string) *outbound {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, ok := n.sessions[address]
	if !ok {
		o = &outbound{}
		n.sessions[address] = o
	}
	return o
}

func (n *Node) dial(ctx context.Context, address string) (*yamux.Session, error) {
	o := n.outbound(address)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.session != nil && !o.session.IsClosed() {
		return o.session, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "peer")
	}
	session, err := yamux.Client(conn, config())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer")
	}
	o.session = session
	return session, nil
}

// Drop closes the connection to address, so that all its streams fail at once.
func (n *Node) Drop(address string) {
	n.mu.Lock()
	o := n.sessions[address]
	delete(n.sessions, address)
	n.mu.Unlock()
	if o != nil {
		o.close()
	}
}

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.serveConn(conn) })
	}
}

func (n *Node) serveConn(conn net.Conn) {
	session, err := yamux.Server(conn, config())
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	defer func() { _ = session.Close() }()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			n.reportEnd(conn, err)
			return
		}
		n.running.Go(func() { n.serveStream(ctx, newRemote(ctx, stream)) })
	}
}

func (n *Node) reportEnd(conn net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) || n.ctx.Err() != nil {
		return
	}
	n.logger.Log(event.PeerRefused, log.Fields{"peer": conn.RemoteAddr().String(), "error": err.Error()})
}

func (n *Node) serveStream(ctx context.Context, stream Stream) {
	defer func() { _ = stream.Close() }()
	first, err := stream.Receive()
	if err != nil {
		return
	}
	n.handler.Serve(ctx, first, stream)
}
