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
	// messageBytesMaximum bounds one message from a caller.
	messageBytesMaximum = 16 << 20
	writerBytes         = 16 << 10
	statusIdle          = byte('I')
	statusTransaction   = byte('T')
	statusFailed        = byte('E')
)

// caller is one caller's connection and session.
type caller struct {
	entry   *Entry
	conn    net.Conn
	reader  *message.Reader
	writer  *bufio.Writer
	secured bool
	name    string
	service string
	process uint32
	secret  uint32
	// waiting is set while the session waits for its caller's next request, outside a transaction.
	waiting atomic.Bool
	// running names the transaction at its owner for cancel requests.
	running atomic.Pointer[running]

	route      config.Route
	token      session.Token
	asserted   map[string]bool
	settings   map[string]string
	statements map[string]prepared
	status     byte
	stream     peer.Stream
	streamEnd  context.CancelFunc
	placed     placed
	skipping   bool
}

// running is a transaction that can be cancelled.
type running struct {
	id       uint64
	endpoint config.Endpoint
}

// placed is the endpoint of an open transaction and whether that may write.
type placed struct {
	endpoint config.Endpoint
	write    bool
}

// prepared is a statement that the caller has parsed: its name at endpoints and its Parse message there.
type prepared struct {
	name  string
	parse message.Raw
	query string
}

func newCaller(e *Entry, conn net.Conn) *caller {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	c := &caller{
		entry:      e,
		secret:     binary.BigEndian.Uint32(secret[:]),
		asserted:   make(map[string]bool),
		settings:   make(map[string]string),
		statements: make(map[string]prepared),
		status:     statusIdle,
	}
	c.use(conn)
	return c
}

// use makes a connection the one that the caller is spoken with.
func (c *caller) use(conn net.Conn) {
	c.conn = conn
	c.reader = message.NewReader(conn, messageBytesMaximum)
	c.writer = bufio.NewWriterSize(conn, writerBytes)
}

// wake interrupts a read for the next request.
func (c *caller) wake() {
	if c.waiting.Load() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func (c *caller) send(m pgproto3.BackendMessage) {
	data, err := m.Encode(nil)
	if err == nil {
		_, _ = c.writer.Write(data)
	}
}

func (c *caller) ready() error {
	c.send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	return c.writer.Flush()
}

// greet tells the caller its parameters and that it may send requests.
func (c *caller) greet() {
	parameters := []pgproto3.ParameterStatus{
		{Name: "server_version", Value: "15.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: session.TokenParameter, Value: c.tokenText()},
	}
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range parameters {
		c.send(&p)
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.process, SecretKey: binary.BigEndian.AppendUint32(nil, c.secret)})
	_ = c.ready()
	c.entry.options.Logger.Log(event.CallerConnected, log.Fields{"caller": c.name, "service": c.service})
}

func (c *caller) tokenText() string {
	return c.token.Encode(c.name, c.entry.options.Keys[0])
}

// serve answers requests until the caller leaves, breaks the protocol or the instance drains.
func (c *caller) serve() {
	defer c.endTransaction()
	for {
		request, err := c.read()
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

// reportEnd logs why a connection ended, and tells the caller when it broke the protocol or the instance drains.
func (c *caller) reportEnd(err error) {
	var fault *protocolFault
	switch {
	case errors.As(err, &fault):
		c.entry.options.Logger.Log(event.ProtocolViolated, log.Fields{"caller": c.name, "cause": fault.Error()})
		c.send(fatal(fault.code, fault.Error()))
		_ = c.writer.Flush()
	case errors.Is(err, errDrained):
		c.send(fatal(codeShutdown, "instance is leaving; connect again"))
		_ = c.writer.Flush()
	}
	c.entry.options.Logger.Log(event.CallerDisconnected, log.Fields{"caller": c.name})
}

// endTransaction lets go of an open transaction, which its owner then rolls back.
func (c *caller) endTransaction() {
	if c.stream == nil {
		return
	}
	_ = c.stream.Close()
	c.streamEnd()
	c.stream = nil
	c.running.Store(nil)
	c.entry.requests.Add(-1)
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
