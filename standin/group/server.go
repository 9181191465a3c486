package group

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/clock"
	"siskincove/standin/link"
)

const faultInterval = 2 * time.Millisecond

// ApplicationPrefix stands before the failure domain in the application name of instances, from which the delay is taken.
const ApplicationPrefix = "siskincove "

// server accepts connections for one member.
type server struct {
	group     *Group
	member    *Member
	listener  net.Listener
	slots     chan struct{}
	fence     chan struct{}
	waits     atomic.Int64
	served    atomic.Int64
	open      atomic.Int64
	most      atomic.Int64
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	sessions  map[uint32]*session
	processes uint32
	running   sync.WaitGroup
}

func newServer(g *Group, m *Member, listener net.Listener) *server {
	return &server{
		group:    g,
		member:   m,
		listener: listener,
		slots:    make(chan struct{}, max(g.options.Slots, 1)),
		fence:    make(chan struct{}, 1),
		conns:    make(map[net.Conn]struct{}),
		sessions: make(map[uint32]*session),
	}
}

func (s *server) start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.supervise(ctx)
		s.running.Wait()
	}()
	return done
}

// supervise keeps the listener in step with the Killed fault.
func (s *server) supervise(ctx context.Context) {
	ticks := s.group.clock.Every(ctx, faultInterval)
	up := true
	s.running.Go(func() { s.accept(ctx, s.listener) })
	for {
		select {
		case <-ctx.Done():
			s.down()
			return
		case <-ticks:
			up = s.follow(ctx, up)
		}
	}
}

func (s *server) follow(ctx context.Context, up bool) bool {
	killed := s.member.Faults().Killed
	if killed == !up {
		return up
	}
	if killed {
		s.down()
		return false
	}
	listener, err := net.Listen("tcp", s.member.address)
	if err != nil {
		return false
	}
	s.listener = listener
	s.running.Go(func() { s.accept(ctx, listener) })
	return true
}

func (s *server) down() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.running.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	s.remember(conn)
	defer s.forget(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.block()
	backend := pgproto3.NewBackend(conn, conn)
	startup, ok := s.startup(conn, backend)
	if !ok {
		return
	}
	raw := conn
	if startup.secured != nil {
		conn = startup.secured
		backend = pgproto3.NewBackend(conn, conn)
	}
	distance := s.group.options.Delays.Delay(startup.domain, s.member.domain)
	if err := clock.Wait(ctx, s.group.clock, s.group.options.ConnectDelay+2*distance); err != nil {
		return
	}
	delayed := link.Delay(conn, distance)
	if delayed != conn {
		defer func() { _ = delayed.Close() }()
		backend = pgproto3.NewBackend(delayed, delayed)
	}
	if !s.admit(backend) {
		return
	}
	defer s.open.Add(-1)
	session := newSession(ctx, s, raw, backend)
	session.defaultReadOnly = startup.readOnly
	s.register(session)
	defer s.unregister(session)
	if s.greet(session) != nil {
		return
	}
	_ = session.serve()
}

func (s *server) remember(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *server) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// startup is what a caller's startup parameters ask for.
type startup struct {
	domain   string
	readOnly bool
	// secured is the connection under TLS, nil in plain text.
	secured net.Conn
}

func (s *server) startup(conn net.Conn, backend *pgproto3.Backend) (startup, bool) {
	var secured net.Conn
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return startup{}, false
		}
		switch m := message.(type) {
		case *pgproto3.SSLRequest:
			if s.group.options.TLS == nil {
				if _, err := conn.Write([]byte{'N'}); err != nil {
					return startup{}, false
				}
				continue
			}
			if _, err := conn.Write([]byte{'S'}); err != nil {
				return startup{}, false
			}
			secured = tls.Server(conn, s.group.options.TLS)
			backend = pgproto3.NewBackend(secured, secured)
		case *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return startup{}, false
			}
		case *pgproto3.StartupMessage:
			domain, _ := strings.CutPrefix(m.Parameters["application_name"], ApplicationPrefix)
			return startup{domain: domain, readOnly: m.Parameters["default_transaction_read_only"] == "on", secured: secured}, true
		case *pgproto3.CancelRequest:
			s.cancelSession(m.ProcessID)
			return startup{}, false
		default:
			return startup{}, false
		}
	}
}

// cancelSession interrupts what a session executes.
func (s *server) cancelSession(process uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session, ok := s.sessions[process]; ok {
		select {
		case session.interrupt <- struct{}{}:
		default:
		}
	}
}

func (s *server) register(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes++
	session.process = s.processes
	s.sessions[session.process] = session
}

func (s *server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.process)
}

func (s *server) admit(backend *pgproto3.Backend) bool {
	open := s.open.Add(1)
	if limit := s.group.options.Connections; limit > 0 && open > int64(limit) {
		s.open.Add(-1)
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: codeTooMany, Message: "sorry, too many clients already"})
		_ = backend.Flush()
		return false
	}
	for {
		most := s.most.Load()
		if open <= most || s.most.CompareAndSwap(most, open) {
			return true
		}
	}
}

func (s *server) greet(session *session) error {
	b := session.backend
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: standinServerVer})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: standinEncoding})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.BackendKeyData{ProcessID: session.process, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return b.Flush()
}

// block holds the caller back while the member is frozen or cut off from its callers.
func (s *server) block() {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for (m.faults.Frozen || m.faults.CutCallers) && !m.faults.Killed {
		m.changed.Wait()
	}
}
