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

// AgentPrefix stands before the dialling instance's failure domain in the user agent of a CONNECT request.
const AgentPrefix = "siskincove "

// Proxy is an HTTP CONNECT proxy between instances that adds delays and cuts by failure domain.
type Proxy struct {
	// Delay gives the one-way delay between two failure domains.
	delay func(a, b string) time.Duration

	mu     sync.Mutex
	places map[string]string
	cuts   map[pair]bool
	conns  map[*tunnel]struct{}
}

// pair is a direction between two failure domains.
type pair struct {
	from string
	to   string
}

// tunnel is one proxied connection.
type tunnel struct {
	pair pair
	near net.Conn
	far  net.Conn
}

// NewProxy returns a proxy with the delays; Place tells it where addresses are.
func NewProxy(delay func(a, b string) time.Duration) *Proxy {
	return &Proxy{delay: delay, places: make(map[string]string), cuts: make(map[pair]bool), conns: make(map[*tunnel]struct{})}
}

// Place tells the failure domain of an address.
func (p *Proxy) SetDomain(address, domain string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places[address] = domain
}

// Cut ends and refuses connections that are dialled from one failure domain to another, or lets them through again.
func (p *Proxy) Cut(from, to string, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cut := pair{from: from, to: to}
	p.cuts[cut] = on
	for t := range p.conns {
		if on && t.pair == cut {
			_ = t.near.Close()
			_ = t.far.Close()
		}
	}
}

// Serve accepts connections until the listener closes.
func (p *Proxy) Serve(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

func (p *Proxy) serve(ctx context.Context, near net.Conn) {
	defer func() { _ = near.Close() }()
	reader := bufio.NewReader(near)
	request, err := http.ReadRequest(reader)
	if err != nil || request.Method != http.MethodConnect {
		return
	}
	from, _ := strings.CutPrefix(request.UserAgent(), AgentPrefix)
	t, err := p.connect(ctx, from, request.Host, near)
	if err != nil {
		_, _ = io.WriteString(near, "HTTP/1.1 502 Bad Gateway\r\n\r\n")
		return
	}
	defer p.forget(t)
	if _, err := io.WriteString(near, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	t.relay(reader)
}

func (p *Proxy) connect(ctx context.Context, from, address string, near net.Conn) (*tunnel, error) {
	p.mu.Lock()
	to := p.places[address]
	cut := p.cuts[pair{from: from, to: to}]
	p.mu.Unlock()
	if cut {
		return nil, errors.New("cut")
	}
	distance := p.delay(from, to)
	time.Sleep(2 * distance)
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	t := &tunnel{pair: pair{from: from, to: to}, near: near, far: Delay(conn, distance)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[t] = struct{}{}
	return t, nil
}

func (p *Proxy) forget(t *tunnel) {
	_ = t.far.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, t)
}

func (t *tunnel) relay(reader io.Reader) {
	var both sync.WaitGroup
	both.Go(func() { t.copy(t.far, reader) })
	both.Go(func() { t.copy(t.near, t.far) })
	both.Wait()
}

func (t *tunnel) copy(to io.Writer, from io.Reader) {
	_, _ = io.Copy(to, from)
	_ = t.near.Close()
	_ = t.far.Close()
}
