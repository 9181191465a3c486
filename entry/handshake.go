package entry

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/event"
	"siskincove/session"
)

const (
	// startTimeout is the time within which a caller must be authenticated.
	startTimeout       = 10 * time.Second
	startBytesMaximum  = 10000
	startBytesMinimum  = 8
	protocolVersion    = 196608
	protocolMajorShift = 16
	cancelRequestCode  = 80877102
	sslRequestCode     = 80877103
	gssRequestCode     = 80877104
)

// errCancelRequest ends a connection that carried only a cancel request.
var errCancelRequest = errors.New("cancel request")

// start reads the startup messages, authenticates the caller and opens its session.
func (c *caller) start() error {
	_ = c.conn.SetDeadline(c.server.options.Clock.Now().Add(startTimeout))
	parameters, err := c.readStartup()
	if err != nil {
		return err
	}
	if err := c.authenticate(parameters["user"]); err != nil {
		return err
	}
	if err := c.openSession(parameters); err != nil {
		return err
	}
	return c.conn.SetDeadline(time.Time{})
}

// readStartup handles TLS, GSS and cancel requests until a startup message arrives, and returns its parameters.
func (c *caller) readStartup() (map[string]string, error) {
	for {
		body, err := c.readStartupBody()
		if err != nil {
			return nil, err
		}
		code := binary.BigEndian.Uint32(body)
		switch code {
		case sslRequestCode:
			if err := c.startTLS(); err != nil {
				return nil, err
			}
		case gssRequestCode:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case cancelRequestCode:
			return nil, c.handleCancelRequest(body)
		default:
			return c.decodeStartup(code, body)
		}
	}
}

// readStartupBody reads one untyped message and returns the bytes after its length field.
func (c *caller) readStartupBody() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < startBytesMinimum || size > startBytesMaximum {
		return nil, sqlErrorf(codeProtocol, "startup message has an invalid length of %d bytes", size)
	}
	body := make([]byte, size-len(header))
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

// startTLS answers a TLS request, and upgrades the connection if the instance has a certificate. It refuses bytes that arrived
// unencrypted after the request: they would be taken for encrypted ones, which would allow an attacker to inject them.
func (c *caller) startTLS() error {
	tlsConfig := c.server.options.TLS
	if tlsConfig == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.reader.Buffered() > 0 {
		return sqlErrorf(codeProtocol, "unencrypted data received before the TLS handshake")
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	tlsConn := tls.Server(c.conn, tlsConfig)
	if err := tlsConn.Handshake(); err != nil {
		return errors.Wrap(err, "TLS handshake")
	}
	c.setConn(tlsConn)
	c.encrypted = true
	return nil
}

func (c *caller) decodeStartup(code uint32, body []byte) (map[string]string, error) {
	if c.server.options.TLSRequired && !c.encrypted {
		return nil, sqlErrorf(codeAuthorization, "this instance requires TLS")
	}
	if code != protocolVersion {
		return nil, sqlErrorf(codeFeature, "protocol version %d.%d is not supported", code>>protocolMajorShift, code&0xffff)
	}
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, sqlErrorf(codeProtocol, "startup message is malformed")
	}
	return m.Parameters, nil
}

// handleCancelRequest cancels the request of another session, here or on the instance that may have that session.
func (c *caller) handleCancelRequest(body []byte) error {
	const cancelBytes = 12
	if len(body) != cancelBytes {
		return sqlErrorf(codeProtocol, "cancel request is malformed")
	}
	processID := binary.BigEndian.Uint32(body[4:8])
	secret := binary.BigEndian.Uint32(body[8:12])
	if !c.server.Cancel(processID, secret) {
		c.server.options.ForwardCancel(c.server.ctx, processID, secret)
	}
	return errCancelRequest
}

// openSession sets up the session from the startup parameters. The database is the name of a service, or a service and
// a route separated by a slash.
func (c *caller) openSession(parameters map[string]string) error {
	database := parameters["database"]
	if database == "" {
		database = c.name
	}
	service, route, _ := strings.Cut(database, "/")
	c.service = service
	if err := c.selectService(route); err != nil {
		return err
	}
	for name, value := range parameters {
		if err := c.applyStartupParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (c *caller) selectService(route string) error {
	catalog := c.server.options.Catalogs.Catalog()
	service, ok := catalog.Service(c.service)
	declared, _ := catalog.Caller(c.name)
	if !ok || !slices.Contains(declared.Services, c.service) {
		return sqlErrorf(codeDatabase, "service %q does not exist or is not allowed for caller %q", c.service, c.name)
	}
	if route == "" {
		route = service.Route
	}
	return c.chooseRoute(route)
}

// chooseRoute sets the route of the session's next transactions, which must belong to the session's service.
func (c *caller) chooseRoute(name string) error {
	route, ok := c.server.options.Catalogs.Catalog().Route(name)
	if !ok || route.Service != c.service {
		return sqlErrorf(codeDatabase, "service %q has no route %q", c.service, name)
	}
	c.route = route
	return nil
}

func (c *caller) applyStartupParameter(name, value string) error {
	switch name {
	case "user", "database", "replication":
		if name == "replication" && value != "false" && value != "off" && value != "0" {
			return sqlErrorf(codeFeature, "replication connections are not supported")
		}
		return nil
	case "options":
		if value != "" {
			return sqlErrorf(codeFeature, "startup options are not supported; send each setting as a separate startup parameter")
		}
		return nil
	case session.TokenParameter:
		c.acceptToken(value)
		return nil
	case routeParameter:
		return c.chooseRoute(value)
	default:
		return c.applySetting(name, quoteLiteral(value))
	}
}

// acceptToken merges a token that was signed for this caller into the session's. It logs and ignores an invalid token;
// reads then use a barrier.
func (c *caller) acceptToken(text string) {
	if text == "" {
		return
	}
	token, err := session.Decode(text, c.name, c.server.options.Keys)
	if err != nil {
		c.server.options.Logger.Log(event.TokenRejected, log.Fields{"caller": c.name, "cause": err.Error()})
		return
	}
	c.token = c.token.WithToken(token)
	catalog := c.server.options.Catalogs.Catalog()
	for _, d := range catalog.Set.Databases {
		if _, ok := token.Position(d.Name); ok {
			c.positionKnown[d.Name] = true
		}
	}
}

// reportStartFailure logs why a caller was refused, and tells the caller if the error has an SQLSTATE.
func (c *caller) reportStartFailure(err error) {
	if errors.Is(err, errCancelRequest) {
		return
	}
	fields := log.Fields{"caller": c.name, "service": c.service, "address": c.conn.RemoteAddr().String(), "reason": err.Error()}
	c.server.options.Logger.Log(event.CallerRefused, fields)
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		c.send(fatalResponse(sqlErr.code, sqlErr.message))
		_ = c.writer.Flush()
	}
}
