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

// Connector makes connections to peers, directly or through an HTTP CONNECT proxy.
type Connector struct {
	// Proxy is the proxy's IP:port. If empty, peers are dialled directly.
	Proxy string
	// Domain is this instance's failure domain, sent to the proxy in the User-Agent header.
	Domain string
	// TLS is the configuration for both ends of peer connections; nil means plain text.
	TLS *tls.Config
}

const userAgentPrefix = "siskincove "

// dial connects to the address. With TLS, the handshake is complete and the peer's certificate verified.
func (c Connector) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := c.dialPlain(ctx, address)
	if err != nil || c.TLS == nil {
		return conn, err
	}
	secured := tls.Client(conn, c.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return secured, nil
}

func (c Connector) dialPlain(ctx context.Context, address string) (net.Conn, error) {
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

// tunnel sends a CONNECT request for the address and waits for the proxy's response.
func (c Connector) tunnel(ctx context.Context, conn net.Conn, address string) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	request := &http.Request{
		Method: http.MethodConnect, URL: &url.URL{Opaque: address}, Host: address,
		Header: http.Header{"User-Agent": {userAgentPrefix + c.Domain}},
	}
	if err := request.Write(conn); err != nil {
		return errors.Wrap(err, "proxy")
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(conn, 1), request)
	if err != nil {
		return errors.Wrap(err, "proxy")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("proxy answered CONNECT with %s", response.Status)
	}
	return conn.SetDeadline(time.Time{})
}
