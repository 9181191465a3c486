package entry

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"siskincove/message"
	"siskincove/peer/wire"
)

const (
	// requestBytesMaximum bounds the messages collected up to a Sync.
	requestBytesMaximum = 18 << 20
	statementsMaximum   = 10000
)

// request is what a caller sent up to a Query, Sync or Flush.
type request struct {
	wire *wire.Request
	// sql is the text of a simple query, or of the only statement that an extended request names.
	sql     string
	class   class
	several bool
	// fault is set when the request is refused before anything is sent.
	fault error
	// synced tells that the request ends with a Query or Sync, after which the caller expects ReadyForQuery.
	synced bool
}

// read collects the caller's next request; nil means that the caller has left.
func (c *caller) read() (*request, error) {
	var payload []byte
	for {
		before := len(payload)
		if before == 0 {
			if err := c.wait(); err != nil {
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
			if before > 0 {
				return nil, fault(codeProtocol, "simple query inside an extended request")
			}
			return c.simpleRequest(m)
		case message.Sync, message.Flush:
			return c.extendedRequest(payload, m.Type() == message.Sync)
		case message.Parse, message.Bind, message.Describe, message.Execute, message.Close:
			if len(payload) > requestBytesMaximum {
				return nil, fault(codeProtocol, "request exceeds %d bytes", requestBytesMaximum)
			}
		default:
			return nil, fault(codeProtocol, "unexpected message %q", string(m.Type()))
		}
	}
}

// drainGrace is how long a draining session is still read from, for a request that is already on its way.
const drainGrace = 50 * time.Millisecond

// wait blocks until the caller sends something. Outside a transaction a draining instance interrupts the wait.
func (c *caller) wait() error {
	if c.stream != nil {
		return c.waitInside()
	}
	c.waiting.Store(true)
	if c.entry.drains() {
		c.wake()
	}
	err := c.reader.Wait()
	c.waiting.Store(false)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.entry.drains() {
		_ = c.conn.SetReadDeadline(c.entry.options.Clock.Now().Add(drainGrace))
		err = c.reader.Wait()
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	return err
}

// waitInside waits for the next request of an open transaction, which holds a slot of its endpoint and so may not be idle
// for long.
func (c *caller) waitInside() error {
	idle := c.entry.options.IdleTimeout
	_ = c.conn.SetReadDeadline(c.entry.options.Clock.Now().Add(idle))
	err := c.reader.Wait()
	_ = c.conn.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return fault(codeIdle, "transaction was idle for longer than %s and was rolled back", idle)
	}
	return err
}

func (c *caller) readError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && c.entry.drains():
		return errDrained
	case errors.Is(err, message.ErrOversized):
		return fault(codeProtocol, "message exceeds %d bytes", messageBytesMaximum)
	case errors.Is(err, message.ErrMalformed):
		return fault(codeProtocol, "message length is malformed")
	default:
		return err
	}
}

func (c *caller) simpleRequest(m message.Raw) (*request, error) {
	sql, rest, err := message.CString(m.Body())
	if err != nil || len(rest) != 0 {
		return nil, fault(codeProtocol, "query message is malformed")
	}
	r := &request{wire: &wire.Request{Payload: m}, sql: sql, class: classify(sql), several: several(sql), synced: true}
	if r.several && r.class != classBegin {
		r.class = classSeveral(sql)
	}
	return r, nil
}

// classSeveral treats several statements as a write, unless they hold what can't be part of one.
func classSeveral(sql string) class {
	for part := range strings.SplitSeq(sql, ";") {
		switch c := classify(part); c {
		case classSet, classReset, classDiscard, classDeallocate, classCopy, classRefused:
			return classRefused
		}
	}
	return classWrite
}

// extendedRequest renames prepared statements to names that are the same on every connection.
func (c *caller) extendedRequest(payload []byte, synced bool) (*request, error) {
	r := &request{wire: &wire.Request{Extended: true}, class: classEmpty, synced: synced}
	rest := payload
	for len(rest) > 0 {
		var m message.Raw
		var err error
		m, rest, err = message.Next(rest)
		if err != nil {
			return nil, fault(codeProtocol, "extended request is malformed")
		}
		if err := c.rename(r, m); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (c *caller) rename(r *request, m message.Raw) error {
	name, named, err := message.StatementName(m)
	if err != nil {
		return fault(codeProtocol, "message %q is malformed", string(m.Type()))
	}
	if !named {
		r.wire.Payload = append(r.wire.Payload, m...)
		return nil
	}
	if m.Type() == message.Parse {
		return c.parse(r, m, name)
	}
	known, ok := c.statements[name]
	if m.Type() == message.Close {
		delete(c.statements, name)
		known.name = closedName
		ok = true
	}
	if !ok {
		r.refuse(fault(codeStatement, "prepared statement %q does not exist", name))
		return nil
	}
	if m.Type() != message.Close {
		r.use(known)
	}
	return r.add(m, known.name)
}

// closedName stands for a statement that the caller closes, which stays prepared at the endpoint.
const closedName = "closed"

func (c *caller) parse(r *request, m message.Raw, name string) error {
	query, err := message.ParseQuery(m)
	if err != nil {
		return fault(codeProtocol, "parse message is malformed")
	}
	if len(c.statements) >= statementsMaximum {
		r.refuse(fault(codeTooMany, "session has %d prepared statements", statementsMaximum))
		return nil
	}
	shared := ""
	if name != "" {
		shared = fmt.Sprintf("s%016x", xxhash.Sum64(m.Body()[len(name)+1:]))
	}
	renamed, err := message.WithStatementName(m, shared)
	if err != nil {
		return fault(codeProtocol, "parse message is malformed")
	}
	p := prepared{name: shared, parse: renamed, query: query}
	c.statements[name] = p
	r.use(p)
	return r.add(m, shared)
}

func (r *request) add(m message.Raw, name string) error {
	renamed, err := message.WithStatementName(m, name)
	if err != nil {
		return fault(codeProtocol, "message %q is malformed", string(m.Type()))
	}
	r.wire.Payload = append(r.wire.Payload, renamed...)
	return nil
}

// use notes that the request needs a statement: its text decides the class, and the owner may have to parse it.
func (r *request) use(p prepared) {
	r.wire.Prepared = append(r.wire.Prepared, &wire.Prepared{Name: p.name, Parse: p.parse})
	r.class = combine(r.class, classify(p.query))
	r.several = r.several || r.sql != "" && r.sql != p.query
	r.sql = p.query
}

// combine returns the class of a request with statements of two classes.
func combine(a, b class) class {
	switch {
	case a == classEmpty || a == b:
		return b
	case b == classEmpty:
		return a
	case a == classRefused || b == classRefused:
		return classRefused
	default:
		return classWrite
	}
}

func (r *request) refuse(err error) {
	if r.fault == nil {
		r.fault = err
	}
}
