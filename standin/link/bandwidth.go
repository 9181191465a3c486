package link

import (
	"io"
	"net"
	"sync"
	"time"
)

// limitedChunk is how many bytes a limited copy passes on at once.
const limitedChunk = 4 << 10

// Bandwidth is the capacity of a link that several connections share.
type Bandwidth struct {
	bytesPerSecond int

	mu   sync.Mutex
	free time.Time
}

// NewBandwidth returns a link that carries a number of bytes in a second.
func NewBandwidth(bytesPerSecond int) *Bandwidth { return &Bandwidth{bytesPerSecond: bytesPerSecond} }

// wait blocks until the link has carried n bytes after those that it was given before.
func (b *Bandwidth) wait(n int) {
	b.mu.Lock()
	now := time.Now()
	if b.free.Before(now) {
		b.free = now
	}
	b.free = b.free.Add(time.Duration(n) * time.Second / time.Duration(b.bytesPerSecond))
	until := b.free
	b.mu.Unlock()
	time.Sleep(time.Until(until))
}

// SetBandwidth limits what all connections to the instances of a failure domain carry in both directions together.
func (p *Proxy) SetBandwidth(domain string, b *Bandwidth) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bandwidths[domain] = b
}

// limit returns the links that a connection between two failure domains uses.
func (p *Proxy) limit(d direction) []*Bandwidth {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*Bandwidth
	for _, domain := range []string{d.from, d.to} {
		if b, ok := p.bandwidths[domain]; ok {
			out = append(out, b)
		}
	}
	return out
}

// copyLimited copies until either end fails. What it has not passed on yet holds up the sender.
func copyLimited(to io.Writer, from io.Reader, links []*Bandwidth) {
	buffer := make([]byte, limitedChunk)
	for {
		n, err := from.Read(buffer)
		for _, b := range links {
			b.wait(n)
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// limitBuffers keeps the kernel from queueing more for a connection than a link does.
func limitBuffers(conn net.Conn) {
	const bufferBytes = 64 << 10
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bufferBytes)
		_ = tcp.SetWriteBuffer(bufferBytes)
	}
}

// Forward passes connections on to a target, over a link, until the listener is closed.
func Forward(listener net.Listener, target string, b *Bandwidth) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			continue
		}
		for _, ends := range [][2]net.Conn{{client, server}, {server, client}} {
			limitBuffers(ends[0])
			go func() {
				copyLimited(ends[0], ends[1], []*Bandwidth{b})
				_ = ends[0].Close()
				_ = ends[1].Close()
			}()
		}
	}
}
