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
	server  *server
	ctx     context.Context
	conn    net.Conn
	backend *pgproto3.Backend
	// status is the transaction status that ReadyForQuery reports.
	status byte
	// readOnly tells whether the open transaction is read-only.
	readOnly bool
	// defaultReadOnly is the mode of transactions that do not specify one.
	defaultReadOnly bool
	processID       uint32
	// interrupt receives cancel requests.
	interrupt chan struct{}
	// pending holds the changes that are not committed yet.
	pending        []change
	hasSlot        bool
	holdsFenceLock bool
	// skipToSync discards messages up to the next Sync after an error.
	skipToSync bool
	prepared   map[string]statement
	portals    map[string]portal
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

// serve handles messages until the connection ends.
func (s *session) serve() error {
	defer s.release()
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return err
		}
		s.server.waitWhileBlocked()
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
	s.releaseSlot()
}

// endRequest ends a request: outside a transaction it commits pending changes, then it reports the transaction status.
func (s *session) endRequest() error {
	if s.status == statusIdle {
		s.finishImplicit()
	}
	s.skipToSync = false
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.status})
	return s.flush()
}

func (s *session) finishImplicit() {
	if err := s.commitPending(); err != nil {
		s.fail(err)
	}
	s.releaseSlot()
}

func (s *session) flush() error {
	s.server.waitWhileBlocked()
	return s.backend.Flush()
}

// commitPending appends the pending changes to the log. With the fault LoseCommit the connection is closed afterwards,
// so that the answer is lost.
func (s *session) commitPending() error {
	changes := s.pending
	s.pending = nil
	if len(changes) == 0 {
		return nil
	}
	if _, err := s.member().commit(changes, s.group().clock.Now()); err != nil {
		return sqlError{code: codeReadOnly, message: err.Error()}
	}
	if s.member().consumeFault(func(f *Faults) *bool { return &f.LoseCommit }) {
		s.closeConn()
	}
	return nil
}

func (s *session) closeConn() {
	if err := s.conn.Close(); err != nil {
		s.skipToSync = true
	}
}

// fail sends the error, marks an open transaction as failed and skips the rest of the request.
func (s *session) fail(err error) {
	code := codeSyntax
	var known sqlError
	if errors.As(err, &known) {
		code = known.code
	}
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error()})
	s.pending = nil
	s.skipToSync = true
	if s.status == statusTransaction {
		s.status = statusFailed
	}
}

func (s *session) handle(message pgproto3.FrontendMessage) error {
	if query, ok := message.(*pgproto3.Query); ok {
		return s.simpleQuery(query.String)
	}
	if _, ok := message.(*pgproto3.Sync); ok {
		return s.endRequest()
	}
	if _, ok := message.(*pgproto3.Flush); ok {
		return s.flush()
	}
	if s.skipToSync {
		return nil
	}
	if err := s.handleExtended(message); err != nil {
		s.fail(err)
	}
	return nil
}

func (s *session) simpleQuery(sql string) error {
	texts := splitStatements(sql)
	if len(texts) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for _, text := range texts {
		if err := s.runStatement(strings.TrimSpace(text)); err != nil {
			s.fail(err)
			break
		}
	}
	return s.endRequest()
}

func (s *session) runStatement(sql string) error {
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
