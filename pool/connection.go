package pool

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/config"
	"siskincove/message"
	"siskincove/peer/wire"
)

const (
	connectTimeout = 2 * time.Second
	// responseBytesMaximum bounds one message from an endpoint.
	responseBytesMaximum = 18 << 20
	// preparedMaximum is the number of prepared statements above which a connection is closed instead of reused.
	preparedMaximum       = 256
	applicationNamePrefix = "siskincove "
)

// connection is a connection to an endpoint that carries transactions.
type connection struct {
	conn     net.Conn
	reader   *message.Reader
	readOnly bool
	prepared map[string]bool
	settings map[string]string
	pid      uint32
	secret   []byte
}

// dialer opens connections to one endpoint.
type dialer struct {
	config *pgconn.Config
	domain string
}

func newDialer(o Options) (*dialer, error) {
	host, port, err := net.SplitHostPort(o.Endpoint.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "parse address of endpoint %s", o.Endpoint.Name)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Wrapf(err, "parse port of endpoint %s", o.Endpoint.Name)
	}
	c, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "parse connection settings")
	}
	c.Host, c.Port = host, uint16(portNumber)
	c.User, c.Password, c.Database = o.Database.User, o.Database.Password, o.Database.Catalog
	c.ConnectTimeout = connectTimeout
	if c.TLSConfig, err = tlsConfig(o, host); err != nil {
		return nil, err
	}
	c.Fallbacks = nil
	return &dialer{config: c, domain: o.Domain}, nil
}

// tlsConfig returns the TLS configuration that the database requires, nil for none.
func tlsConfig(o Options, host string) (*tls.Config, error) {
	if o.Database.TLS == config.TLSOff || o.Database.TLS == "" {
		return nil, nil
	}
	if o.TLSConfig == nil {
		return nil, errors.Newf("database %s requires TLS, but tls.endpointauthority is not set", o.Database.Name)
	}
	return o.TLSConfig(host, o.Database.TLS == config.TLSNamed), nil
}

// dialReserved opens a connection for status queries and commands.
func (d *dialer) dialReserved(ctx context.Context) (*pgconn.PgConn, error) {
	c := d.copy()
	c.DialFunc = dialMetered
	return pgconn.ConnectConfig(ctx, c)
}

func (d *dialer) copy() *pgconn.Config {
	c := d.config.Copy()
	c.RuntimeParams = map[string]string{"application_name": applicationNamePrefix + d.domain}
	return c
}

// dialWorking opens a connection for transactions. If readOnly is set, the endpoint itself rejects writes on it.
func (d *dialer) dialWorking(ctx context.Context, readOnly bool) (*connection, error) {
	c := d.copy()
	if readOnly {
		c.RuntimeParams["default_transaction_read_only"] = "on"
	}
	plain, err := pgconn.ConnectConfig(ctx, c)
	if err != nil {
		return nil, err
	}
	// If a write stalls during startup, pgconn starts a background read, which would consume the first response.
	if err := plain.SyncConn(ctx); err != nil {
		_ = plain.Close(ctx)
		return nil, errors.Wrap(err, "synchronize new connection")
	}
	hijacked, err := plain.Hijack()
	if err != nil {
		return nil, errors.Wrap(err, "hijack new connection")
	}
	return &connection{
		conn:     hijacked.Conn,
		reader:   message.NewReader(hijacked.Conn, responseBytesMaximum),
		readOnly: readOnly,
		prepared: make(map[string]bool),
		settings: make(map[string]string),
		pid:      hijacked.PID,
		secret:   hijacked.SecretKey,
	}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// settingsQuery returns the statements that change the connection's settings to the wanted ones, or "" if they match.
// It records the wanted settings as applied.
func (c *connection) settingsQuery(wanted []*wire.Setting) string {
	if len(wanted) == 0 && len(c.settings) == 0 {
		return ""
	}
	next := make(map[string]string, len(wanted))
	for _, s := range wanted {
		next[s.GetName()] = s.GetValue()
	}
	if maps.Equal(next, c.settings) {
		return ""
	}
	sql := ""
	for name := range c.settings {
		if _, kept := next[name]; !kept {
			sql += "RESET " + name + ";"
		}
	}
	for name, value := range next {
		if c.settings[name] != value {
			sql += fmt.Sprintf("SET %s = %s;", name, value)
		}
	}
	c.settings = next
	return sql
}
