package peer

import (
	"context"
	"crypto/tls"
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
	// handshakeTimeout bounds the TLS handshake with a peer.
	handshakeTimeout = 2 * time.Second
	// streamCloseTimeout bounds how long a closed stream waits for its other end to close too.
	streamCloseTimeout = 30 * time.Second
)

// Options are what a node needs to know and to use.
type Options struct {
	// Listener accepts peers, and Self is the address at which they reach this node.
	Listener  net.Listener
	Self      string
	Connector Connector
	Handler   Handler
	Logger    *event.Logger
}

// Node is an instance's end of the connections to all its peers.
type Node struct {
	options  Options
	ctx      context.Context
	mu       sync.Mutex
	sessions map[string]*outbound
	running  sync.WaitGroup
	done     chan struct{}
}

// New returns a node that ends with ctx.
func New(ctx context.Context, o Options) *Node {
	n := &Node{
		options:  o,
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
	_ = n.options.Listener.Close()
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

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.EnableKeepAlive = false
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// Open starts a stream to the node at address, or to the node itself.
func (n *Node) Open(ctx context.Context, address string) (Stream, error) {
	if address == n.options.Self {
		return n.openLocal(ctx)
	}
	o := n.outbound(address)
	if kept := o.kept(); kept != nil {
		kept.bind(ctx)
		return kept, nil
	}
	session, err := n.connect(ctx, o, address)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		n.Drop(address)
		return nil, errors.Wrapf(err, "stream to %s", address)
	}
	return newRemote(ctx, conn, o), nil
}

// connect returns the session to an address. The connection is made to its end also when ctx ends first, so that the next
// stream finds it there: making one takes several round trips.
func (n *Node) connect(ctx context.Context, o *outbound, address string) (*yamux.Session, error) {
	if session := o.current(); session != nil {
		return session, nil
	}
	a := o.join(func(a *attempt) {
		n.running.Go(func() {
			defer o.end(a)
			bounded, cancel := context.WithTimeout(n.ctx, dialTimeout+handshakeTimeout)
			defer cancel()
			a.session, a.err = o.dial(bounded, n.options.Connector, address)
		})
	})
	select {
	case <-a.done:
		return a.session, a.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connection to %s", address)
	}
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
		conn, err := n.options.Listener.Accept()
		if err != nil {
			return
		}
		n.running.Go(func() { n.serveConn(conn) })
	}
}

func (n *Node) serveConn(conn net.Conn) {
	conn, err := n.secure(conn)
	if err != nil {
		n.reportEnd(conn, err)
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(joined(conn), config())
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
		n.running.Go(func() { n.serveStream(ctx, newRemote(ctx, stream, nil)) })
	}
}

// secure makes the peer show its certificate before anything else, if there is TLS.
func (n *Node) secure(conn net.Conn) (net.Conn, error) {
	if n.options.Connector.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, n.options.Connector.TLS)
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "tls")
}

func (n *Node) reportEnd(conn net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) || n.ctx.Err() != nil {
		return
	}
	n.options.Logger.Log(event.PeerRefused, log.Fields{"peer": conn.RemoteAddr().String(), "error": err.Error()})
}

// serveStream serves one exchange after the other.
func (n *Node) serveStream(ctx context.Context, stream Stream) {
	defer func() { _ = stream.Close() }()
	for {
		first, err := stream.Receive()
		if err != nil {
			return
		}
		if !n.options.Handler.Serve(ctx, first, stream) {
			return
		}
	}
}
