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
	// startLimit bounds the time until a caller is authenticated.
	startLimit         = 10 * time.Second
	startBytesMaximum  = 10000
	startBytesMinimum  = 8
	protocolVersion    = 196608
	protocolMajorShift = 16
	cancelRequestCode  = 80877102
	sslRequestCode     = 80877103
	gssRequestCode     = 80877104
)

// errCancelled ends a connection that only brought a cancel request.
var errCancelled = errors.New("cancel request")

// start reads the startup messages and authenticates the caller.
func (c *caller) start() error {
	_ = c.conn.SetDeadline(c.entry.options.Clock.Now().Add(startLimit))
	parameters, err := c.startup()
	if err != nil {
		return err
	}
	if err := c.authenticate(parameters["user"]); err != nil {
		return err
	}
	if err := c.enter(parameters); err != nil {
		return err
	}
	return c.conn.SetDeadline(time.Time{})
}

// startup reads messages until one that starts a session.
func (c *caller) startup() (map[string]string, error) {
	for {
		body, err := c.startupBody()
		if err != nil {
			return nil, err
		}
		code := binary.BigEndian.Uint32(body)
		switch code {
		case sslRequestCode:
			if err := c.secure(); err != nil {
				return nil, err
			}
		case gssRequestCode:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		case cancelRequestCode:
			return nil, c.cancelOther(body)
		default:
			return c.parameters(code, body)
		}
	}
}

// startupBody reads one untyped message and returns what follows its length.
func (c *caller) startupBody() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size < startBytesMinimum || size > startBytesMaximum {
		return nil, fault(codeProtocol, "startup message of %d bytes", size)
	}
	body := make([]byte, size-len(header))
	_, err := io.ReadFull(c.reader, body)
	return body, err
}

// secure goes over to TLS if the instance has a certificate. Bytes that came with the request in plain text would be
// taken for encrypted ones, so they end the connection.
func (c *caller) secure() error {
	config := c.entry.options.TLS
	if config == nil || c.secured {
		_, err := c.conn.Write([]byte{'N'})
		return err
	}
	if c.reader.Buffered() > 0 {
		return fault(codeProtocol, "data before the TLS handshake")
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	secured := tls.Server(c.conn, config)
	if err := secured.Handshake(); err != nil {
		return errors.Wrap(err, "tls")
	}
	c.use(secured)
	c.secured = true
	return nil
}

func (c *caller) parameters(code uint32, body []byte) (map[string]string, error) {
	if c.entry.options.TLSRequired && !c.secured {
		return nil, fault(codeAuthorization, "this instance accepts callers by TLS only")
	}
	if code != protocolVersion {
		return nil, fault(codeFeature, "protocol version %d.%d is not supported", code>>protocolMajorShift, code&0xffff)
	}
	var m pgproto3.StartupMessage
	if err := m.Decode(body); err != nil {
		return nil, fault(codeProtocol, "startup message is malformed")
	}
	return m.Parameters, nil
}

func (c *caller) cancelOther(body []byte) error {
	const cancelBytes = 12
	if len(body) != cancelBytes {
		return fault(codeProtocol, "cancel request is malformed")
	}
	process := binary.BigEndian.Uint32(body[4:8])
	secret := binary.BigEndian.Uint32(body[8:12])
	if !c.entry.Cancel(process, secret) {
		c.entry.options.ForwardCancel(c.entry.ctx, process, secret)
	}
	return errCancelled
}

// enter sets up the session that the startup parameters ask for.
func (c *caller) enter(parameters map[string]string) error {
	database := parameters["database"]
	if database == "" {
		database = c.name
	}
	service, route, _ := strings.Cut(database, "/")
	c.service = service
	if err := c.enterService(route); err != nil {
		return err
	}
	for name, value := range parameters {
		if err := c.startupParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

func (c *caller) enterService(route string) error {
	catalog := c.entry.options.Catalogs.Catalog()
	service, ok := catalog.Service(c.service)
	allowed, _ := catalog.Caller(c.name)
	if !ok || !slices.Contains(allowed.Services, c.service) {
		return fault(codeDatabase, "service %q does not exist or is not open to caller %q", c.service, c.name)
	}
	if route == "" {
		route = service.Route
	}
	return c.chooseRoute(route)
}

// chooseRoute makes a route of the session's service the one for coming transactions.
func (c *caller) chooseRoute(name string) error {
	route, ok := c.entry.options.Catalogs.Catalog().Route(name)
	if !ok || route.Service != c.service {
		return fault(codeDatabase, "service %q has no route %q", c.service, name)
	}
	c.route = route
	return nil
}

func (c *caller) startupParameter(name, value string) error {
	switch name {
	case "user", "database", "replication":
		if name == "replication" && value != "false" && value != "off" && value != "0" {
			return fault(codeFeature, "replication connections are not supported")
		}
		return nil
	case "options":
		if value != "" {
			return fault(codeFeature, "startup options are not supported; send each setting as a parameter of its own")
		}
		return nil
	case session.TokenParameter:
		c.acceptToken(value)
		return nil
	case routeParameter:
		return c.chooseRoute(value)
	default:
		return c.set(name, quoteLiteral(value))
	}
}

// acceptToken takes over a token that this deployment made for the caller; any other is ignored, and a barrier used.
func (c *caller) acceptToken(text string) {
	if text == "" {
		return
	}
	token, err := session.Decode(text, c.name, c.entry.options.Keys)
	if err != nil {
		c.entry.options.Logger.Log(event.TokenRejected, log.Fields{"caller": c.name, "cause": err.Error()})
		return
	}
	c.token = c.token.WithToken(token)
	catalog := c.entry.options.Catalogs.Catalog()
	for _, d := range catalog.Set.Databases {
		if _, ok := token.Position(d.Name); ok {
			c.asserted[d.Name] = true
		}
	}
}

// reportStart tells a caller why it was refused.
func (c *caller) reportStart(err error) {
	if errors.Is(err, errCancelled) {
		return
	}
	fields := log.Fields{"caller": c.name, "service": c.service, "address": c.conn.RemoteAddr().String(), "reason": err.Error()}
	c.entry.options.Logger.Log(event.CallerRefused, fields)
	var known *protocolFault
	if errors.As(err, &known) {
		c.send(fatal(known.code, known.message))
		_ = c.writer.Flush()
	}
}
