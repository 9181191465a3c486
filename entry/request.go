package entry

import (
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/message"
	"siskincove/peer/wire"
)

const (
	// requestBytesMaximum is the maximum total size of the messages collected up to a Sync.
	requestBytesMaximum = 18 << 20
	statementsMaximum   = 10000
)

// request holds the messages that a caller sent up to a Query, Sync or Flush.
type request struct {
	wire *wire.Request
	// sql is the text of a simple query, or of the last prepared statement that an extended request uses.
	sql            string
	class          class
	multiStatement bool
	// refusal is set if the request must be refused without sending it to an endpoint.
	refusal error
	// synced is set if the request ends with a Query or Sync, after which the caller expects ReadyForQuery.
	synced bool
}

// readRequest reads the caller's next request. It returns nil if the caller has closed the session.
func (c *caller) readRequest() (*request, error) {
	var payload []byte
	for {
		pending := len(payload)
		if pending == 0 {
			if err := c.waitForRequest(); err != nil {
				return nil, c.readError(err)
			}
		}
		out, m, err := c.reader.Append(payload)
		if err != nil {
			return nil, c.readError(err)
		}
		payload = out
		switch m.Type() {
		case message.Terminate:
			return nil, nil
		case message.Query:
			if pending > 0 {
				return nil, sqlErrorf(codeProtocol, "simple query before the Sync of an extended request")
			}
			return c.simpleRequest(m)
		case message.Sync, message.Flush:
			return c.extendedRequest(payload, m.Type() == message.Sync)
		case message.Parse, message.Bind, message.Describe, message.Execute, message.Close:
			if len(payload) > requestBytesMaximum {
				return nil, sqlErrorf(codeProtocol, "request exceeds %d bytes", requestBytesMaximum)
			}
		default:
			return nil, sqlErrorf(codeProtocol, "unexpected message %q", string(m.Type()))
		}
	}
}

// drainGrace is how long a session of a draining instance still waits for a request that the caller may have sent already.
const drainGrace = 50 * time.Millisecond

// waitForRequest blocks until the caller sends something. Outside a transaction, draining interrupts the wait; the removal of the
// caller's declaration always does.
func (c *caller) waitForRequest() error {
	if c.stream != nil {
		return c.waitInTransaction()
	}
	c.waiting.Store(true)
	if c.server.isDraining() || c.isWithdrawn() {
		c.wake()
	}
	err := c.reader.Wait()
	c.waiting.Store(false)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isWithdrawn() {
		return errWithdrawn
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.server.isDraining() {
		_ = c.conn.SetReadDeadline(c.server.options.Clock.Now().Add(drainGrace))
		err = c.reader.Wait()
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.server.isDraining() {
		// The caller's declaration was back before the session noticed that it had been removed.
		return c.waitForRequest()
	}
	return err
}

// waitInTransaction waits for the next request of an open transaction for at most the idle timeout, since the
// transaction occupies a slot of its endpoint.
func (c *caller) waitInTransaction() error {
	idle := c.server.options.IdleTimeout
	_ = c.conn.SetReadDeadline(c.server.options.Clock.Now().Add(idle))
	c.waitingInTransaction.Store(true)
	if c.isWithdrawn() {
		c.interrupt()
	}
	err := c.reader.Wait()
	c.waitingInTransaction.Store(false)
	_ = c.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isWithdrawn() {
		return errWithdrawn
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return sqlErrorf(codeIdle, "transaction was idle for longer than %s and was rolled back", idle)
	}
	return err
}

func (c *caller) readError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.server.isDraining():
		return errShutdown
	case errors.Is(err, message.ErrOversized):
		return sqlErrorf(codeProtocol, "message exceeds %d bytes", messageBytesMaximum)
	case errors.Is(err, message.ErrMalformed):
		return sqlErrorf(codeProtocol, "message length is malformed")
	default:
		return err
	}
}

func (c *caller) simpleRequest(m message.Raw) (*request, error) {
	sql, rest, err := message.CString(m.Body())
	if err != nil || len(rest) != 0 {
		return nil, sqlErrorf(codeProtocol, "query message is malformed")
	}
	r := &request{wire: &wire.Request{Payload: m}, sql: sql, class: classify(sql), multiStatement: hasMultipleStatements(sql), synced: true}
	if r.multiStatement && r.class != classBegin {
		r.class = classifyMultiple(sql)
	}
	return r, nil
}

// classifyMultiple returns the class of a simple query with several statements: a write, or unsupported if one of them
// must be sent alone or is unsupported.
func classifyMultiple(sql string) class {
	for part := range strings.SplitSeq(sql, ";") {
		switch c := classify(part); c {
		case classSet, classReset, classDiscard, classDeallocate, classCopy, classUnsupported:
			return classUnsupported
		}
	}
	return classWrite
}

// extendedRequest builds a request from the messages of the extended protocol. It replaces the names of prepared
// statements by names that are the same on every connection.
func (c *caller) extendedRequest(payload []byte, synced bool) (*request, error) {
	r := &request{wire: &wire.Request{Extended: true}, class: classEmpty, synced: synced}
	rest := payload
	for len(rest) > 0 {
		var m message.Raw
		var err error
		m, rest, err = message.Next(rest)
		if err != nil {
			return nil, sqlErrorf(codeProtocol, "extended request is malformed")
		}
		if err := c.appendMessage(r, m); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// appendMessage adds a message to the request, with the name of a prepared statement replaced.
func (c *caller) appendMessage(r *request, m message.Raw) error {
	name, named, err := message.StatementName(m)
	if err != nil {
		return sqlErrorf(codeProtocol, "message %q is malformed", string(m.Type()))
	}
	if !named {
		r.wire.Payload = append(r.wire.Payload, m...)
		return nil
	}
	if m.Type() == message.Parse {
		return c.appendParse(r, m, name)
	}
	statement, ok := c.statements[name]
	if m.Type() == message.Close {
		delete(c.statements, name)
		statement.name = closedName
		ok = true
	}
	if !ok {
		r.setRefusal(sqlErrorf(codeStatement, "prepared statement %q does not exist", name))
		return nil
	}
	if m.Type() != message.Close {
		r.addStatement(statement)
	}
	return r.appendRenamed(m, statement.name)
}

// closedName replaces the statement name in a Close message, since the statement stays prepared at the endpoint.
const closedName = "closed"

// appendParse records a statement that the caller prepares and adds its Parse message to the request, under a name that sessions
// share; the unnamed statement stays unnamed.
func (c *caller) appendParse(r *request, m message.Raw, name string) error {
	query, err := message.ParseQuery(m)
	if err != nil {
		return sqlErrorf(codeProtocol, "parse message is malformed")
	}
	if len(c.statements) >= statementsMaximum {
		r.setRefusal(sqlErrorf(codeTooMany, "session already has %d prepared statements, the maximum", statementsMaximum))
		return nil
	}
	sharedName := ""
	if name != "" {
		if sharedName, err = message.SharedName(m); err != nil {
			return sqlErrorf(codeProtocol, "parse message is malformed")
		}
	}
	renamed, err := message.WithStatementName(m, sharedName)
	if err != nil {
		return sqlErrorf(codeProtocol, "parse message is malformed")
	}
	p := preparedStatement{name: sharedName, parse: renamed, query: query}
	c.statements[name] = p
	r.addStatement(p)
	return r.appendRenamed(m, sharedName)
}

func (r *request) appendRenamed(m message.Raw, name string) error {
	renamed, err := message.WithStatementName(m, name)
	if err != nil {
		return sqlErrorf(codeProtocol, "message %q is malformed", string(m.Type()))
	}
	r.wire.Payload = append(r.wire.Payload, renamed...)
	return nil
}

// addStatement records that the request uses a prepared statement: its text determines the class, and the owner may have
// to prepare it on the connection first.
func (r *request) addStatement(p preparedStatement) {
	r.wire.Prepared = append(r.wire.Prepared, &wire.Prepared{Name: p.name, Parse: p.parse})
	r.class = combineClasses(r.class, classify(p.query))
	r.multiStatement = r.multiStatement || r.sql != "" && r.sql != p.query
	r.sql = p.query
}

// combineClasses returns the class of a request that uses statements of two classes.
func combineClasses(a, b class) class {
	switch {
	case a == classEmpty || a == b:
		return b
	case b == classEmpty:
		return a
	case a == classUnsupported || b == classUnsupported:
		return classUnsupported
	default:
		return classWrite
	}
}

// setRefusal sets the refusal unless there is one already.
func (r *request) setRefusal(err error) {
	if r.refusal == nil {
		r.refusal = err
	}
}
