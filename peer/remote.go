package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"siskincove/peer/wire"
)

const readerBytes = 4 << 10

// remoteStream is a Stream over a yamux stream.
type remoteStream struct {
	conn   net.Conn
	reader *bufio.Reader
	buffer []byte
	// unbind releases the stream from the context that bind set. It returns false if that context has ended.
	unbind   func() bool
	once     sync.Once
	closeErr error
	// outbound takes the stream back when it is released; nil on the side that accepted the stream.
	outbound *outbound
}

func newRemoteStream(ctx context.Context, conn net.Conn, o *outbound) *remoteStream {
	r := &remoteStream{conn: conn, reader: bufio.NewReaderSize(conn, readerBytes), outbound: o}
	r.bind(ctx)
	return r
}

// bind closes the stream when ctx ends.
func (r *remoteStream) bind(ctx context.Context) {
	r.unbind = context.AfterFunc(ctx, func() { _ = closeYamuxStream(r.conn) })
}

// closeYamuxStream closes a yamux stream. The expired read deadline wakes a blocked reader, which Close alone does not.
func closeYamuxStream(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	return conn.Close()
}

// Send encodes a frame and writes it.
func (r *remoteStream) Send(frame *wire.Frame) error {
	buffer, err := appendFrame(r.buffer[:0], frame)
	r.buffer = buffer
	if err != nil {
		return err
	}
	r.outbound.recordFrame(frame, len(buffer))
	_, err = r.conn.Write(buffer)
	return err
}

// Receive reads the next frame.
func (r *remoteStream) Receive() (*wire.Frame, error) {
	frame, size, err := readFrame(r.reader)
	if err == nil {
		r.outbound.recordFrame(frame, size)
	}
	return frame, err
}

// Close closes the stream; further calls return the result of the first.
func (r *remoteStream) Close() error {
	r.once.Do(func() {
		r.unbind()
		r.closeErr = closeYamuxStream(r.conn)
	})
	return r.closeErr
}

// Release makes the stream available for another exchange, unless its context has ended or unread bytes remain.
func (r *remoteStream) Release() {
	if r.outbound == nil || !r.unbind() || r.reader.Buffered() > 0 || !r.outbound.putIdle(r) {
		_ = r.Close()
	}
}
