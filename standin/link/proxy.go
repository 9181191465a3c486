package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// AgentPrefix precedes the failure domain of the dialling instance in the user agent of a CONNECT request.
const AgentPrefix = "siskincove "

// Proxy is an HTTP CONNECT proxy between instances that delays or cuts connections by failure domain.
type Proxy struct {
	// delay returns the one-way delay between two failure domains.
	delay func(a, b string) time.Duration

	mu sync.Mutex
	// domains are the failure domains by address.
	domains map[string]string
	cuts    map[direction]bool
	// bandwidths limit connections by failure domain.
	bandwidths map[string]*Bandwidth
	tunnels    map[*tunnel]struct{}
}

// direction is an ordered pair of failure domains: the one that dials and the one dialled.
type direction struct {
	from string
	to   string
}

// tunnel is a proxied connection.
type tunnel struct {
	direction direction
	client    net.Conn
	target    net.Conn
	links     []*Bandwidth
}

// NewProxy returns a proxy with the given one-way delays; SetDomain gives it the failure domains of addresses.
func NewProxy(delay func(a, b string) time.Duration) *Proxy {
	return &Proxy{delay: delay, domains: make(map[string]string), cuts: make(map[direction]bool), bandwidths: make(map[string]*Bandwidth), tunnels: make(map[*tunnel]struct{})}
}

// SetDomain sets the failure domain of an address.
func (p *Proxy) SetDomain(address, domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.domains[address] = domain
}

// Cut closes and refuses connections dialled from one failure domain to another, or allows them again.
func (p *Proxy) Cut(from, to string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := direction{from: from, to: to}
	p.cuts[cut] = on
	for t := range p.tunnels {
		if on && t.direction == cut {
			_ = t.client.Close()
			_ = t.target.Close()
		}
	}
}

// Serve serves connections until the listener is closed.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	request, err := http.ReadRequest(reader)
	if err != nil || request.Method != http.MethodConnect {
		return
	}
	from, _ := strings.CutPrefix(request.UserAgent(), AgentPrefix)
	t, err := p.connect(ctx, from, request.Host, client)
	if err != nil {
		_, _ = io.WriteString(client, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	defer p.closeTunnel(t)
	if _, err := io.WriteString(client, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	t.relay(reader)
}

// connect dials the address after a round trip, which is the time that a TCP handshake takes.
func (p *Proxy) connect(ctx context.Context, from, address string, client net.Conn) (*tunnel, error) {
	p.mu.Lock()
	to := p.domains[address]
	cut := p.cuts[direction{from: from, to: to}]
	p.mu.Unlock()
	if cut {
		return nil, errors.New("connections in this direction are cut")
	}
	delay := p.delay(from, to)
	time.Sleep(2 * delay)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := &tunnel{direction: direction{from: from, to: to}, client: client, target: Delay(conn, delay)}
	if t.links = p.limit(t.direction); len(t.links) > 0 {
		limitBuffers(client)
		limitBuffers(conn)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tunnels[t] = struct{}{}
	return t, nil
}

func (p *Proxy) closeTunnel(t *tunnel) {
	_ = t.target.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.tunnels, t)
}

func (t *tunnel) relay(reader io.Reader) {
	var copies sync.WaitGroup
	copies.Go(func() { t.copy(t.target, reader) })
	copies.Go(func() { t.copy(t.client, t.target) })
	copies.Wait()
}

func (t *tunnel) copy(to io.Writer, from io.Reader) {
	if len(t.links) == 0 {
		_, _ = io.Copy(to, from)
	} else {
		copyLimited(to, from, t.links)
	}
	_ = t.client.Close()
	_ = t.target.Close()
}
