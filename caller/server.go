package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/dispatch"
	"siskincove/event"
)

// Options configures a Server.
type Options struct {
	Protocol   Protocol
	Dispatcher *dispatch.Dispatcher
	Clock      clock.Service
	Logger     *event.Logger
}

// phase is the stage of the server's shutdown.
type phase int32

const (
	// serving: sessions continue.
	serving phase = iota
	// draining: a session ends as soon as it has no request in flight and no open transaction.
	draining
	// closing: a session ends as soon as it has no request in flight; an open transaction is rolled back.
	closing
)

// acceptRetryDelay is the delay before the next accept after one failed, for example for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

var sessionsOpen = metrics.NewCounter("siskincove_sessions_open")

// Server accepts connections from callers and serves one session on each.
type Server struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	// requestCtx is the context of the requests in flight, which are still answered after it is cancelled.
	requestCtx     context.Context
	cancelRequests context.CancelFunc
	goroutines     sync.WaitGroup
	done           chan struct{}
	phase          atomic.Int32
	// redirecting is set while sessions without an open transaction have to end, so that their callers reconnect to other
	// instances.
	redirecting atomic.Bool
	refusals    *refusalLog

	mu       sync.Mutex
	sessions map[*callerConn]bool
}

// New returns a server that accepts callers from listener until ctx ends.
func New(ctx context.Context, listener net.Listener, o Options) *Server {
	s := &Server{options: o, listener: listener, ctx: ctx, done: make(chan struct{}), sessions: make(map[*callerConn]bool), refusals: newRefusalLog(o.Clock, o.Logger)}
	s.requestCtx, s.cancelRequests = context.WithCancel(ctx)
	s.phase.Store(int32(serving))
	s.goroutines.Go(s.accept)
	go s.awaitShutdown()
	return s
}

// Done returns a channel that is closed when every goroutine of the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Sessions returns the number of connected callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

// awaitShutdown closes the listener and all connections when the server's context ends.
func (s *Server) awaitShutdown() {
	<-s.ctx.Done()
	_ = s.listener.Close()
	s.forEach(func(c *callerConn) { _ = c.conn.Close() })
	s.goroutines.Wait()
	close(s.done)
}

func (s *Server) forEach(do func(c *callerConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		do(c)
	}
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			s.options.Logger.Log(event.CallerRefused, log.Fields{"reason": err.Error()})
			_ = clock.Wait(s.ctx, s.options.Clock, acceptRetryDelay)
			continue
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	defer s.options.Logger.Contain("caller")
	c := &callerConn{server: s, conn: conn, codec: s.options.Protocol(conn)}
	s.mu.Lock()
	s.sessions[c] = true
	s.mu.Unlock()
	sessionsOpen.Inc()
	defer func() {
		_ = conn.Close()
		sessionsOpen.Dec()
		s.mu.Lock()
		delete(s.sessions, c)
		s.mu.Unlock()
	}()
	c.serve()
}

// Drain tells each session to end as soon as it has no request in flight and no open transaction. It does not wait.
func (s *Server) Drain() { s.setPhase(draining) }

// EndWithdrawn ends each session that waits for a request and whose key is no longer valid. The others notice before they
// wait again. Call it when other keys have come into force.
func (s *Server) EndWithdrawn() {
	s.forEach(func(c *callerConn) {
		if c.waiting.Load() && c.session.CheckKey() != nil {
			c.wake()
		}
	})
}

// Close tells each session to end as soon as its request in flight is answered, and rolls back open transactions. It
// does not wait.
func (s *Server) Close() { s.setPhase(closing) }

// Redirect tells each session to end as soon as it has no request in flight and no open transaction, as long as it is on, also
// those that open meanwhile. It does not wait.
func (s *Server) Redirect(on bool) {
	if s.redirecting.Swap(on) == on || !on {
		return
	}
	s.options.Logger.Log(event.SessionsClosing, log.Fields{"count": s.Sessions()})
	s.forEach((*callerConn).wake)
}

// CancelRequests cancels the requests in flight; each is still answered.
func (s *Server) CancelRequests() { s.cancelRequests() }

func (s *Server) setPhase(p phase) {
	s.phase.Store(int32(p))
	s.options.Logger.Log(event.SessionsClosing, log.Fields{"count": s.Sessions()})
	s.forEach((*callerConn).wake)
}

// reached reports whether the server is in phase p or a later one.
func (s *Server) reached(p phase) bool { return phase(s.phase.Load()) >= p }
