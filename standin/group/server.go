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

// faultInterval is how often the Killed fault is checked.
const faultInterval = 2 * time.Millisecond

// ApplicationPrefix precedes the failure domain in the application_name of an instance; the network delay of its
// connection follows from that domain.
const ApplicationPrefix = "siskincove "

// server accepts the connections to one member.
type server struct {
	group    *Group
	member   *Member
	listener net.Listener
	// slots and fenceLock are semaphores: each value in them is a slot or the advisory lock in use.
	slots         chan struct{}
	fenceLock     chan struct{}
	slotWaits     atomic.Int64
	served        atomic.Int64
	openConns     atomic.Int64
	maxOpenConns  atomic.Int64
	mu            sync.Mutex
	conns         map[net.Conn]struct{}
	sessions      map[uint32]*session
	lastProcessID uint32
	goroutines    sync.WaitGroup
}

func newServer(g *Group, m *Member, listener net.Listener) *server {
	return &server{
		group:     g,
		member:    m,
		listener:  listener,
		slots:     make(chan struct{}, max(g.options.Slots, 1)),
		fenceLock: make(chan struct{}, 1),
		conns:     make(map[net.Conn]struct{}),
		sessions:  make(map[uint32]*session),
	}
}

func (s *server) start(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.supervise(ctx)
		s.goroutines.Wait()
	}()
	return done
}

// supervise closes and reopens the listener as the Killed fault is set and cleared, until ctx ends.
func (s *server) supervise(ctx context.Context) {
	ticks := s.group.clock.Every(ctx, faultInterval)
	listening := true
	s.goroutines.Go(func() { s.accept(ctx, s.listener) })
	for {
		select {
		case <-ctx.Done():
			s.shutDown()
			return
		case <-ticks:
			listening = s.applyKilledFault(ctx, listening)
		}
	}
}

// applyKilledFault closes or reopens the listener if the Killed fault has changed, and returns whether it is open.
func (s *server) applyKilledFault(ctx context.Context, listening bool) bool {
	killed := s.member.Faults().Killed
	if killed == !listening {
		return listening
	}
	if killed {
		s.shutDown()
		return false
	}
	listener, err := net.Listen("tcp", s.member.address)
	if err != nil {
		return false
	}
	s.listener = listener
	s.goroutines.Go(func() { s.accept(ctx, listener) })
	return true
}

func (s *server) shutDown() {
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
		s.goroutines.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *server) serve(ctx context.Context, conn net.Conn) {
	s.track(conn)
	defer s.untrack(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.waitWhileBlocked()
	backend := pgproto3.NewBackend(conn, conn)
	startup, ok := s.startup(conn, backend)
	if !ok {
		return
	}
	rawConn := conn
	if startup.tlsConn != nil {
		conn = startup.tlsConn
		backend = pgproto3.NewBackend(conn, conn)
	}
	delay := s.group.options.Delays.Delay(startup.domain, s.member.domain)
	if err := clock.Wait(ctx, s.group.clock, s.group.options.ConnectDelay+2*delay); err != nil {
		return
	}
	delayed := link.Delay(conn, delay)
	if delayed != conn {
		defer func() { _ = delayed.Close() }()
		backend = pgproto3.NewBackend(delayed, delayed)
	}
	if !s.admit(backend) {
		return
	}
	defer s.openConns.Add(-1)
	session := newSession(ctx, s, rawConn, backend)
	session.defaultReadOnly = startup.readOnly
	s.register(session)
	defer s.unregister(session)
	if s.sendStartupResponse(session) != nil {
		return
	}
	_ = session.serve()
}

func (s *server) track(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *server) untrack(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// startup holds the parameters of a connection's startup message.
type startup struct {
	domain   string
	readOnly bool
	// tlsConn is the TLS connection, nil without TLS.
	tlsConn net.Conn
}

// startup negotiates TLS and reads the startup message; it returns false if the connection ends there, as after a
// cancel request.
func (s *server) startup(conn net.Conn, backend *pgproto3.Backend) (startup, bool) {
	var tlsConn net.Conn
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
			tlsConn = tls.Server(conn, s.group.options.TLS)
			backend = pgproto3.NewBackend(tlsConn, tlsConn)
		case *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return startup{}, false
			}
		case *pgproto3.StartupMessage:
			domain, _ := strings.CutPrefix(m.Parameters["application_name"], ApplicationPrefix)
			return startup{domain: domain, readOnly: m.Parameters["default_transaction_read_only"] == "on", tlsConn: tlsConn}, true
		case *pgproto3.CancelRequest:
			s.cancelSession(m.ProcessID)
			return startup{}, false
		default:
			return startup{}, false
		}
	}
}

// cancelSession cancels the statement that a session is running.
func (s *server) cancelSession(processID uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session, ok := s.sessions[processID]; ok {
		select {
		case session.interrupt <- struct{}{}:
		default:
		}
	}
}

func (s *server) register(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastProcessID++
	session.processID = s.lastProcessID
	s.sessions[session.processID] = session
}

func (s *server) unregister(session *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session.processID)
}

// admit counts a connection, or refuses it over the connection limit.
func (s *server) admit(backend *pgproto3.Backend) bool {
	open := s.openConns.Add(1)
	if limit := s.group.options.Connections; limit > 0 && open > int64(limit) {
		s.openConns.Add(-1)
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: codeTooMany, Message: "sorry, too many clients already"})
		_ = backend.Flush()
		return false
	}
	for {
		highest := s.maxOpenConns.Load()
		if open <= highest || s.maxOpenConns.CompareAndSwap(highest, open) {
			return true
		}
	}
}

func (s *server) sendStartupResponse(session *session) error {
	b := session.backend
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.ParameterStatus{Name: "server_version", Value: serverVersion})
	b.Send(&pgproto3.ParameterStatus{Name: "client_encoding", Value: clientEncoding})
	b.Send(&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"})
	b.Send(&pgproto3.BackendKeyData{ProcessID: session.processID, SecretKey: []byte{0, 0, 0, 1}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
	return b.Flush()
}

// waitWhileBlocked waits while the member is frozen or cut off from its clients, unless it is killed.
func (s *server) waitWhileBlocked() {
	m := s.member
	m.mu.Lock()
	defer m.mu.Unlock()
	for (m.faults.Frozen || m.faults.CutCallers) && !m.faults.Killed {
		m.changed.Wait()
	}
}
