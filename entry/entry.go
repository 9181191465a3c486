package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Server accepts callers and serves their sessions.
type Server struct {
	options    Options
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	done       chan struct{}
	databases  *databaseStates
	inflight   atomic.Int64
	// lastTransaction is the last transaction ID that was given.
	lastTransaction atomic.Uint64
	counters        *counters
	retries         *retryBudget
	draining        chan struct{}
	drainOnce       sync.Once

	mu      sync.Mutex
	callers map[uint32]*caller
	// lastSession is the low bits of the last process ID issued.
	lastSession     uint32
	unauthenticated int
}

const (
	// sessionBits is the number of low bits of a process ID that identify a session within its instance. The high bits are
	// a hash of the instance ID.
	sessionBits = 20
	sessionMask = 1<<sessionBits - 1
	// unauthenticatedMaximum is the maximum number of connections that have not been authenticated yet.
	unauthenticatedMaximum = 2000
)

// New returns a server that accepts callers from listener until ctx ends.
func New(ctx context.Context, listener net.Listener, o Options) *Server {
	ctx, cancel := context.WithCancel(ctx)
	s := &Server{
		options:  o,
		listener: listener,
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		callers:  make(map[uint32]*caller),
		counters: newCounters(),
		retries:  newRetryBudget(),
		draining: make(chan struct{}),
	}
	s.lastTransaction.Store(rand.Uint64())
	s.databases = newDatabaseStates(ctx, o)
	s.goroutines.Go(s.accept)
	go s.awaitShutdown()
	return s
}

// Done returns a channel that is closed when the server's goroutines have ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// awaitShutdown closes the listener and the sessions' connections when the server's context ends. A connection that is
// not authenticated yet ends within startTimeout.
func (s *Server) awaitShutdown() {
	<-s.ctx.Done()
	_ = s.listener.Close()
	s.closeCallers()
	s.goroutines.Wait()
	close(s.done)
}

func (s *Server) closeCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		_ = c.conn.Close()
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.admitUnauthenticated() {
			_ = conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// admitUnauthenticated counts a connection as unauthenticated. It returns false if there are too many of them.
func (s *Server) admitUnauthenticated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unauthenticated >= unauthenticatedMaximum {
		return false
	}
	s.unauthenticated++
	return true
}

// releaseUnauthenticated ends the count of a connection as unauthenticated, after its startup succeeded or failed.
func (s *Server) releaseUnauthenticated() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unauthenticated--
}

func (s *Server) serve(conn net.Conn) {
	defer s.options.Logger.Contain("caller")
	defer func() { _ = conn.Close() }()
	c := newCaller(s, conn)
	if err := s.startCaller(c); err != nil {
		c.reportStartFailure(err)
		return
	}
	s.register(c)
	defer s.unregister(c)
	c.completeStartup()
	c.serve()
}

// startCaller authenticates a caller, whose connection counts as unauthenticated until then.
func (s *Server) startCaller(c *caller) error {
	defer s.releaseUnauthenticated()
	return c.start()
}

// instanceBits returns the high bits of the process IDs that an instance issues.
func instanceBits(id string) uint32 {
	return uint32(xxhash.Sum64String(id)) &^ sessionMask
}

// register assigns the caller a process ID, whose high bits let other instances forward its cancel requests here.
func (s *Server) register(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.lastSession = (s.lastSession + 1) & sessionMask
		c.processID = instanceBits(s.options.ID) | s.lastSession
		if _, taken := s.callers[c.processID]; !taken {
			s.callers[c.processID] = c
			return
		}
	}
}

func (s *Server) unregister(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.processID)
}

// Sessions returns the number of authenticated callers that are connected.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

// Inflight returns the number of requests and open transactions being served.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

// MayHaveIssued reports whether the instance with this ID may have issued a process ID. Instances can share the high
// bits of their process IDs, so a true result is not certain.
func MayHaveIssued(id string, processID uint32) bool {
	return processID&^sessionMask == instanceBits(id)
}

// Cancel cancels the running request of the session with this process ID and secret. It reports whether this
// instance has such a session.
func (s *Server) Cancel(processID, secret uint32) bool {
	s.mu.Lock()
	c, ok := s.callers[processID]
	s.mu.Unlock()
	if !ok || c.secret != secret {
		return false
	}
	c.cancelRunning()
	return true
}
