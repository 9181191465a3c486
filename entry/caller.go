package entry

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/config"
	"siskincove/event"
	"siskincove/message"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/session"
)

const (
	// messageBytesMaximum is the maximum size of one message from a caller.
	messageBytesMaximum = 16 << 20
	writeBufferBytes    = 16 << 10
	// Transaction states as sent in ReadyForQuery.
	statusIdle        = byte('I')
	statusTransaction = byte('T')
	statusFailed      = byte('E')
)

// caller is one caller's connection and session.
type caller struct {
	server    *Server
	conn      net.Conn
	reader    *message.Reader
	writer    *bufio.Writer
	encrypted bool
	name      string
	service   string
	processID uint32
	secret    uint32
	// waiting is set while the session waits for the next request outside a transaction.
	waiting atomic.Bool
	// waitingInTransaction is set while it waits for the next request inside one.
	waitingInTransaction atomic.Bool
	// running is the transaction that a cancel request applies to, nil if none is in progress.
	running atomic.Pointer[runningTransaction]

	route config.Route
	token session.Token
	// positionKnown holds the databases for which token has a position, so that reads need no barrier.
	positionKnown map[string]bool
	settings      map[string]string
	statements    map[string]preparedStatement
	status        byte
	// stream leads to the owner of the endpoint that serves the current request or transaction, nil if there is none.
	stream       peer.Stream
	cancelStream context.CancelFunc
	placement    placement
	// skipUntilSync is set after an error in an extended request, until its Sync has arrived.
	skipUntilSync bool
}

// runningTransaction identifies a transaction that can be cancelled at the owner of its endpoint.
type runningTransaction struct {
	id       uint64
	endpoint config.Endpoint
}

// placement is the endpoint of an open transaction, and whether the transaction may write.
type placement struct {
	endpoint config.Endpoint
	write    bool
}

// preparedStatement is a statement that the caller has prepared: its name at the endpoints, the Parse message that
// prepares it under that name, and its SQL text.
type preparedStatement struct {
	name  string
	parse message.Raw
	query string
}

func newCaller(s *Server, conn net.Conn) *caller {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c := &caller{
		server:        s,
		secret:        binary.BigEndian.Uint32(secret[:]),
		positionKnown: make(map[string]bool),
		settings:      make(map[string]string),
		statements:    make(map[string]preparedStatement),
		status:        statusIdle,
	}
	c.setConn(conn)
	return c
}

// setConn makes conn the connection to the caller, initially and after the upgrade to TLS.
func (c *caller) setConn(conn net.Conn) {
	c.conn = conn
	c.reader = message.NewReader(conn, messageBytesMaximum)
	c.writer = bufio.NewWriterSize(conn, writeBufferBytes)
}

// wake interrupts the wait for the next request.
func (c *caller) wake() {
	if c.waiting.Load() {
		c.interrupt()
	}
}

// interrupt makes the wait for the next request end at once.
func (c *caller) interrupt() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

func (c *caller) send(m pgproto3.BackendMessage) {
	data, err := m.Encode(nil)
	if err == nil {
		_, _ = c.writer.Write(data)
	}
}

func (c *caller) sendReadyForQuery() error {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.writer.Flush()
}

// completeStartup sends the parameters and the cancel key, and tells the caller that it may send requests.
func (c *caller) completeStartup() {
	parameters := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "15.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: session.TokenParameter, Value: c.encodedToken()},
	}
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range parameters {
		c.send(&p)
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.processID, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	_ = c.sendReadyForQuery()
	c.server.options.Logger.Log(event.CallerConnected, log.Fields{"caller": c.name, "service": c.service})
}

func (c *caller) encodedToken() string {
	return c.token.Encode(c.name, c.server.options.Keys[0])
}

// serve answers requests until the caller disconnects or violates the protocol, or the instance drains.
func (c *caller) serve() {
	defer c.endTransaction()
	for {
		request, err := c.readRequest()
		if err != nil {
			c.reportEnd(err)
			return
		}
		if request == nil {
			return
		}
		if err := c.handle(request); err != nil {
			c.reportEnd(err)
			return
		}
	}
}

// reportEnd logs the end of a connection, and tells the caller if it violated the protocol, exceeded the idle timeout in a
// transaction, or the instance is draining.
func (c *caller) reportEnd(err error) {
	var violation *sqlError
	switch {
	case errors.As(err, &violation):
		c.server.options.Logger.Log(event.ProtocolViolated, log.Fields{"caller": c.name, "cause": violation.Error()})
		c.send(fatalResponse(violation.code, violation.Error()))
		_ = c.writer.Flush()
	case errors.Is(err, errWithdrawn):
		c.server.options.Logger.Log(event.SessionWithdrawn, log.Fields{"caller": c.name, "route": c.route.Name})
		response := fatalResponse(errWithdrawn.Code(), errWithdrawn.Message)
		response.Detail = errWithdrawn.Detail()
		c.send(response)
		_ = c.writer.Flush()
	case errors.Is(err, errShutdown):
		c.send(fatalResponse(codeShutdown, "instance is leaving; reconnect to another instance"))
		_ = c.writer.Flush()
	}
	c.server.options.Logger.Log(event.CallerDisconnected, log.Fields{"caller": c.name})
}

// endTransaction closes the stream of an open transaction, which the endpoint's owner then rolls back.
func (c *caller) endTransaction() {
	if c.stream == nil {
		return
	}
	_ = c.stream.Close()
	c.cancelStream()
	c.stream = nil
	c.running.Store(nil)
	c.server.inflight.Add(-1)
}

func (c *caller) wireSettings() []*wire.Setting {
	if len(c.settings) == 0 {
		return nil
	}
	out := make([]*wire.Setting, 0, len(c.settings))
	for name, value := range c.settings {
		out = append(out, &wire.Setting{Name: name, Value: value})
	}
	return out
}
