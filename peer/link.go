package peer

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"siskincove/peer/wire"
)

// Link is a connection whose bytes travel in the chunks of a stream.
type StreamConn struct {
	stream Stream
	far    string
	rest   []byte

	mu    sync.Mutex
	timer *time.Timer
	late  bool
}

// NewLink returns a link over a stream to the peer at an address.
func NewStreamConn(stream Stream, far string) *StreamConn {
	return &StreamConn{stream: stream, far: far}
}

// Read returns bytes that have arrived; after a deadline the link can't be used again.
func (l *StreamConn) Read(p []byte) (int, error) {
	for len(l.rest) == 0 {
		frame, err := l.stream.Receive()
		if err != nil {
			return 0, l.reason(err)
		}
		l.rest = frame.GetChunk().GetData()
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// reason returns the deadline's error if that ended the link.
func (l *StreamConn) reason(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.late {
		return os.ErrDeadlineExceeded
	}
	return err
}

// Write sends bytes.
func (l *StreamConn) Write(p []byte) (int, error) {
	err := l.stream.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: p}}})
	if err != nil {
		return 0, l.reason(err)
	}
	return len(p), nil
}

// Close ends the link.
func (l *StreamConn) Close() error {
	_ = l.SetDeadline(time.Time{})
	return l.stream.Close()
}

// SetDeadline ends the link at a time unless it is set anew before; the zero time means no bound.
func (l *StreamConn) SetDeadline(at time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.timer != nil {
		l.timer.Stop()
		l.timer = nil
	}
	if at.IsZero() {
		return nil
	}
	l.timer = time.AfterFunc(time.Until(at), func() {
		l.mu.Lock()
		l.late = true
		l.mu.Unlock()
		_ = l.stream.Close()
	})
	return nil
}

// SetReadDeadline bounds the link as a whole.
func (l *StreamConn) SetReadDeadline(at time.Time) error { return l.SetDeadline(at) }

// SetWriteDeadline does nothing: the stream's session bounds writes.
func (l *StreamConn) SetWriteDeadline(time.Time) error { return nil }

// address is the address of an end of a link.
type address string

// Network tells that the address is no socket's.
func (address) Network() string { return "peer" }

// String returns the address.
func (a address) String() string { return string(a) }

// LocalAddr returns nothing that can be dialled.
func (l *StreamConn) LocalAddr() net.Addr { return address("link") }

// RemoteAddr returns the peer's address.
func (l *StreamConn) RemoteAddr() net.Addr { return address(l.far) }

// Carry passes bytes on between a stream and a connection until either ends.
func Relay(stream Stream, conn net.Conn) {
	link := NewStreamConn(stream, conn.RemoteAddr().String())
	var both sync.WaitGroup
	both.Go(func() {
		_, _ = io.Copy(conn, link)
		_ = conn.Close()
	})
	both.Go(func() {
		_, _ = io.Copy(link, conn)
		_ = stream.Close()
	})
	both.Wait()
}
