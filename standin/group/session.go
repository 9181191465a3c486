package group

import (
	"context"
	"net"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// portal is a bound statement with its parameters and result formats.
type portal struct {
	statement statement
	params    []string
	formats   []int16
}

// session is one connection to a member.
type session struct {
	server   *server
	ctx      context.Context
	conn     net.Conn
	backend  *pgproto3.Backend
	status   byte
	readOnly bool
	// defaultReadOnly is the mode of transactions that do not say theirs.
	defaultReadOnly bool
	process         uint32
	interrupt       chan struct{}
	pending         []change
	slot            bool
	locked          bool
	skip            bool
	prepared        map[string]statement
	portals         map[string]portal
}

func newSession(ctx context.Context, s *server, conn net.Conn, backend *pgproto3.Backend) *session {
	backend.SetMaxBodyLen(maxMessageBodySize)
	return &session{
		server:    s,
		ctx:       ctx,
		conn:      conn,
		backend:   backend,
		status:    statusIdle,
		prepared:  make(map[string]statement),
		portals:   make(map[string]portal),
		interrupt: make(chan struct{}, 1),
	}
}

func (s *session) member() *Member { return s.server.member }

func (s *session) group() *Group { return s.server.group }

// serve answers messages until the connection ends.
func (s *session) serve() error {
	defer s.release()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return err
		}
		s.server.block()
		if _, quit := message.(*pgproto3.Terminate); quit {
			return nil
		}
		if err := s.handle(message); err != nil {
			return err
		}
	}
}

func (s *session) release() {
	s.unlockFence()
	s.freeSlot()
}

// ready ends a request: it commits what is pending outside a transaction and reports the status.
func (s *session) ready() error {
	if s.status == statusIdle {
		s.finishImplicit()
	}
	s.skip = false
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.flush()
}

func (s *session) finishImplicit() {
	if err := s.commitPending(); err != nil {
		s.fail(err)
	}
	s.freeSlot()
}

func (s *session) flush() error {
	s.server.block()
	return s.backend.Flush()
}

// commitPending appends the pending changes to the log; a lost answer closes the connection after the effect.
func (s *session) commitPending() error {
	changes := s.pending
	s.pending = nil
	if len(changes) == 0 {
		return nil
	}
	if _, err := s.member().commit(changes, s.group().clock.Now()); err != nil {
		return failure{code: codeReadOnly, message: err.Error()}
	}
	if s.member().takeFault(func(f *Faults) *bool { return &f.LoseCommit }) {
		s.closeConn()
	}
	return nil
}

func (s *session) closeConn() {
	if err := s.conn.Close(); err != nil {
		s.skip = true
	}
}

// fail sends the error and marks the transaction failed or the rest of the request skipped.
func (s *session) fail(err error) {
	code := codeSyntax
	var known failure
	if errors.As(err, &known) {
		code = known.code
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error()})
	s.pending = nil
	s.skip = true
	if s.status == statusTransaction {
		s.status = statusFailed
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) error {
	if query, ok := message.(*pgproto3.Query); ok {
		return s.simple(query.String)
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		return s.ready()
	}
	if _, ok := message.(*pgproto3.Flush); ok {
		return s.flush()
	}
	if s.skip {
		return nil
	}
	if err := s.extended(message); err != nil {
		s.fail(err)
	}
	return nil
}

func (s *session) simple(sql string) error {
	texts := splitStatements(sql)
	if len(texts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, text := range texts {
		if err := s.simpleOne(strings.TrimSpace(text)); err != nil {
			s.fail(err)
			break
		}
	}
	return s.ready()
}

func (s *session) simpleOne(sql string) error {
	parsed, err := parseStatement(sql)
	if err != nil {
		return err
	}
	out, err := s.execute(parsed, nil)
	if err != nil {
		return err
	}
	if len(out.columns) > 0 {
		s.backend.Send(out.description())
	}
	s.sendRows(out, nil)
	return nil
}
