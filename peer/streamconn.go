package peer

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"siskincove/peer/wire"
)

// StreamConn is a net.Conn whose bytes are sent as chunk frames of a stream.
type StreamConn struct {
	stream      Stream
	peerAddress string
	unread      []byte

	mu       sync.Mutex
	timer    *time.Timer
	timedOut bool
}

// NewStreamConn returns a connection over a stream to the peer at peerAddress.
func NewStreamConn(stream Stream, peerAddress string) *StreamConn {
	return &StreamConn{stream: stream, peerAddress: peerAddress}
}

// Read returns received bytes. Once a deadline has expired, the connection can't be used again.
func (c *StreamConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		frame, err := c.stream.Receive()
		if err != nil {
			return 0, c.deadlineOr(err)
		}
		c.unread = frame.GetChunk().GetData()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// deadlineOr returns os.ErrDeadlineExceeded if an expired deadline closed the connection, and err otherwise.
func (c *StreamConn) deadlineOr(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timedOut {
		return os.ErrDeadlineExceeded
	}
	return err
}

// Write sends p as one chunk.
func (c *StreamConn) Write(p []byte) (int, error) {
	err := c.stream.Send(&wire.Frame{Body: &wire.Frame_Chunk{Chunk: &wire.Chunk{Data: p}}})
	if err != nil {
		return 0, c.deadlineOr(err)
	}
	return len(p), nil
}

// Close cancels the deadline and closes the stream.
func (c *StreamConn) Close() error {
	_ = c.SetDeadline(time.Time{})
	return c.stream.Close()
}

// SetDeadline closes the connection at a time, unless it is called again before. The zero time means no deadline.
func (c *StreamConn) SetDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if at.IsZero() {
		return nil
	}
	c.timer = time.AfterFunc(time.Until(at), func() {
		c.mu.Lock()
		c.timedOut = true
		c.mu.Unlock()
		_ = c.stream.Close()
	})
	return nil
}

// SetReadDeadline sets the deadline of the whole connection, as SetDeadline does.
func (c *StreamConn) SetReadDeadline(at time.Time) error { return c.SetDeadline(at) }

// SetWriteDeadline does nothing: yamux has a write timeout of its own.
func (c *StreamConn) SetWriteDeadline(time.Time) error { return nil }

// streamAddr is the net.Addr of an end of a StreamConn.
type streamAddr string

// Network returns "peer", since the address is not that of a socket.
func (streamAddr) Network() string { return "peer" }

func (a streamAddr) String() string { return string(a) }

// LocalAddr returns a placeholder that can't be dialled.
func (c *StreamConn) LocalAddr() net.Addr { return streamAddr("link") }

// RemoteAddr returns the address of the peer at the other end of the stream.
func (c *StreamConn) RemoteAddr() net.Addr { return streamAddr(c.peerAddress) }

// Relay copies bytes in both directions between a stream and a connection until either ends.
func Relay(stream Stream, conn net.Conn) {
	streamConn := NewStreamConn(stream, conn.RemoteAddr().String())
	var directions sync.WaitGroup
	directions.Go(func() {
		_, _ = io.Copy(conn, streamConn)
		_ = conn.Close()
	})
	directions.Go(func() {
		_, _ = io.Copy(streamConn, conn)
		_ = stream.Close()
	})
	directions.Wait()
}
