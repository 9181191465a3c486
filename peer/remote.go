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

// remote is a stream over a yamux stream.
type remote struct {
	conn   net.Conn
	reader *bufio.Reader
	buffer []byte
	stop   func() bool
	once   sync.Once
	err    error
	// home keeps the stream between exchanges; nil on the side that accepted it.
	home *outbound
}

func newRemote(ctx context.Context, conn net.Conn, home *outbound) *remote {
	r := &remote{conn: conn, reader: bufio.NewReaderSize(conn, readerBytes), home: home}
	r.bind(ctx)
	return r
}

// bind ends the stream with ctx.
func (r *remote) bind(ctx context.Context) {
	r.stop = context.AfterFunc(ctx, func() { _ = end(r.conn) })
}

// end closes a yamux stream and wakes its reader, which closing alone does not.
func end(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Unix(1, 0))
	return conn.Close()
}

// Send writes a frame.
func (r *remote) Send(frame *wire.Frame) error {
	buffer, err := appendFrame(r.buffer[:0], frame)
	r.buffer = buffer
	if err != nil {
		return err
	}
	_, err = r.conn.Write(buffer)
	return err
}

// Receive reads the next frame.
func (r *remote) Receive() (*wire.Frame, error) { return readFrame(r.reader) }

// Close ends the exchange.
func (r *remote) Close() error {
	r.once.Do(func() {
		r.stop()
		r.err = end(r.conn)
	})
	return r.err
}

// Release keeps the stream for another exchange, unless its context has ended.
func (r *remote) Release() {
	if r.home == nil || !r.stop() || r.reader.Buffered() > 0 || !r.home.keep(r) {
		_ = r.Close()
	}
}
