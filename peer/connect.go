package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// Connector makes connections to peers, straight or through an HTTP CONNECT proxy.
type Connector struct {
	// Proxy is the proxy's IP:port; empty dials straight.
	Proxy string
	// Domain is this instance's failure domain, which the proxy is told.
	Domain string
	// TLS is the configuration towards peers, nil for none.
	TLS *tls.Config
}

const agentPrefix = "siskincove "

// dial returns a connection to the address, whose certificate has been verified if there is TLS.
func (c Connector) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.plain(ctx, address)
	if err != nil || c.TLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, c.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "tls")
	}
	return secured, nil
}

func (c Connector) plain(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.Proxy == "" {
		return dialer.DialContext(ctx, "tcp", address)
	}
	conn, err := dialer.DialContext(ctx, "tcp", c.Proxy)
	if err != nil {
		return nil, err
	}
	if err := c.tunnel(ctx, conn, address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// tunnel asks the proxy to connect conn to the address.
func (c Connector) tunnel(ctx context.Context, conn net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	request := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address,
		Header: http.Header{"User-Agent": {agentPrefix + c.Domain}},
	}
	if err := request.Write(conn); err != nil {
		return errors.Wrap(err, "proxy")
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1), request)
	if err != nil {
		return errors.Wrap(err, "proxy")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("proxy answered %s", response.Status)
	}
	return conn.SetDeadline(time.Time{})
}
