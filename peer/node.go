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
	"siskincove/meter"
)

const (
	dialTimeout      = 500 * time.Millisecond
	writeTimeout     = 3 * time.Second
	acceptBacklog    = 4096
	handshakeTimeout = 2 * time.Second
	// streamCloseTimeout bounds how long a closed stream waits for the other end to close it as well.
	streamCloseTimeout = 30 * time.Second
)

// Options configure a node.
type Options struct {
	// Listener accepts connections of peers. Self is the address at which they reach this node.
	Listener  net.Listener
	Self      string
	Connector Connector
	Handler   Handler
	Logger    *event.Logger
	// Traffic, if set, counts the frames on streams that this node opens. Distance then returns how far the instance at an
	// address is.
	Traffic  *meter.Traffic
	Distance func(address string) meter.Distance
}

// Node holds an instance's connections to its peers, and serves the exchanges that they start.
type Node struct {
	options   Options
	ctx       context.Context
	mu        sync.Mutex
	outbounds map[string]*outbound
	running   sync.WaitGroup
	done      chan struct{}
}

// New returns a node that accepts peers until ctx ends.
func New(ctx context.Context, o Options) *Node {
	n := &Node{
		options:   o,
		ctx:       ctx,
		outbounds: make(map[string]*outbound),
		done:      make(chan struct{}),
	}
	n.running.Go(n.accept)
	go n.shutDown()
	return n
}

// Done returns a channel that is closed once all goroutines of the node have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

func (n *Node) shutDown() {
	<-n.ctx.Done()
	_ = n.options.Listener.Close()
	n.closeOutbounds()
	n.running.Wait()
	close(n.done)
}

func (n *Node) closeOutbounds() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.outbounds {
		o.close()
	}
}

func yamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.EnableKeepAlive = false
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

// Open returns a stream to the node at address, which may be this node. It reuses an idle stream if there is one.
func (n *Node) Open(ctx context.Context, address string) (Stream, error) {
	if address == n.options.Self {
		return n.openLocal(ctx)
	}
	o := n.outbound(address)
	if idle := o.takeIdle(); idle != nil {
		idle.bind(ctx)
		return idle, nil
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
	return newRemoteStream(ctx, conn, o), nil
}

// connect returns the session to an address. Dialling continues if ctx ends first, since it takes several round trips and
// the next stream can use the connection.
func (n *Node) connect(ctx context.Context, o *outbound, address string) (*yamux.Session, error) {
	if session := o.liveSession(); session != nil {
		return session, nil
	}
	a := o.joinAttempt(func(a *dialAttempt) {
		n.running.Go(func() {
			defer o.finishAttempt(a)
			dialCtx, cancel := context.WithTimeout(n.ctx, dialTimeout+handshakeTimeout)
			defer cancel()
			a.session, a.err = o.dial(dialCtx, n.options.Connector, address)
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
	client, server := Pipe(ctx)
	n.running.Go(func() {
		defer cancel()
		n.serveStream(ctx, server)
	})
	return client, nil
}

func (n *Node) outbound(address string) *outbound {
	n.mu.Lock()
	defer n.mu.Unlock()
	o, ok := n.outbounds[address]
	if !ok {
		o = &outbound{traffic: n.options.Traffic, findDistance: func() meter.Distance { return n.options.Distance(address) }}
		n.outbounds[address] = o
	}
	return o
}

// Drop closes the connection to address, which makes its streams fail immediately.
func (n *Node) Drop(address string) {
	n.mu.Lock()
	o := n.outbounds[address]
	delete(n.outbounds, address)
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
	conn, err := n.handshake(conn)
	if err != nil {
		n.logSessionEnd(conn, err)
		_ = conn.Close()
		return
	}
	session, err := yamux.Server(wrapConn(conn), yamuxConfig())
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
			n.logSessionEnd(conn, err)
			return
		}
		n.running.Go(func() { n.serveStream(ctx, newRemoteStream(ctx, stream, nil)) })
	}
}

// handshake performs the TLS handshake with a peer, if TLS is configured, before any frame is read.
func (n *Node) handshake(conn net.Conn) (net.Conn, error) {
	if n.options.Connector.TLS == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(conn, n.options.Connector.TLS)
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "TLS handshake")
}

// logSessionEnd logs why a session with a peer ended, unless the peer closed it or the node is shutting down.
func (n *Node) logSessionEnd(conn net.Conn, err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) || n.ctx.Err() != nil {
		return
	}
	n.options.Logger.Log(event.PeerRefused, log.Fields{"peer": conn.RemoteAddr().String(), "error": err.Error()})
}

// serveStream serves the exchanges of a stream one after the other.
func (n *Node) serveStream(ctx context.Context, stream Stream) {
	defer n.options.Logger.Contain("peer")
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
