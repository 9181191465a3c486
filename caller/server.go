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

// Options are what a server needs to know and to use.
type Options struct {
	Protocol   Protocol
	Dispatcher *dispatch.Dispatcher
	Clock      clock.Service
	Logger     *event.Logger
}

// phase is how far the server has come in leaving.
type phase int32

const (
	// serving sessions go on.
	serving phase = iota
	// leaving sessions end as soon as no request and no transaction is open.
	leaving
	// closing sessions end as soon as no request is outstanding; transactions are rolled back.
	closing
)

// acceptPause is waited after a failure to accept, as when descriptors run out.
const acceptPause = 50 * time.Millisecond

var sessionsOpen = metrics.NewCounter("siskincove_sessions_open")

// Server accepts callers.
type Server struct {
	options  Options
	listener net.Listener
	ctx      context.Context
	// requests bounds the requests in flight; they are still answered when it ends.
	requests context.Context
	cut      context.CancelFunc
	running  sync.WaitGroup
	done     chan struct{}
	phase    atomic.Int32

	mu       sync.Mutex
	sessions map[*conversation]bool
}

// New returns a server that accepts callers from listener until ctx ends.
func New(ctx context.Context, listener net.Listener, o Options) *Server {
	s := &Server{options: o, listener: listener, ctx: ctx, done: make(chan struct{}), sessions: make(map[*conversation]bool)}
	s.requests, s.cut = context.WithCancel(ctx)
	s.phase.Store(int32(serving))
	s.running.Go(s.accept)
	go s.finish()
	return s
}

// Done is closed when every goroutine of the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Sessions returns how many callers are connected.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}

func (s *Server) finish() {
	<-s.ctx.Done()
	_ = s.listener.Close()
	s.each(func(c *conversation) { _ = c.conn.Close() })
	s.running.Wait()
	close(s.done)
}

func (s *Server) each(do func(c *conversation)) {
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
			_ = clock.Wait(s.ctx, s.options.Clock, acceptPause)
			continue
		}
		s.running.Go(func() { s.serve(conn) })
	}
}

func (s *Server) serve(conn net.Conn) {
	c := &conversation{server: s, conn: conn, codec: s.options.Protocol(conn)}
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

// Leave ends the sessions that have nothing open, and those of others once they are done.
func (s *Server) Leave() { s.enter(leaving) }

// Close ends all sessions once their requests are answered, and rolls back their transactions.
func (s *Server) Close() { s.enter(closing) }

// Cut gives up the requests in flight; each still gets its answer.
func (s *Server) Cut() { s.cut() }

func (s *Server) enter(p phase) {
	s.phase.Store(int32(p))
	s.options.Logger.Log(event.SessionsClosing, log.Fields{"count": s.Sessions()})
	s.each((*conversation).wake)
}

func (s *Server) at(p phase) bool { return phase(s.phase.Load()) >= p }
