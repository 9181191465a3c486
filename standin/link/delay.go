package link

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize = 32 << 10
	// chunkQueue is the number of chunks in transit in each direction, beyond which reading or writing blocks.
	chunkQueue = 256
)

// chunk is a block of bytes that may be passed on at due; err is the error that followed it.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// DelayConn is a connection that delays bytes in each direction by a one-way delay.
type DelayConn struct {
	net.Conn
	oneWay time.Duration
	in     chan chunk
	out    chan chunk
	// unread is the rest of the chunk that Read returned in part.
	unread []byte
	closed chan struct{}
	once   sync.Once
}

// Delay wraps conn in a DelayConn; it returns conn itself if the delay is not positive.
func Delay(conn net.Conn, oneWay time.Duration) net.Conn {
	if oneWay <= 0 {
		return conn
	}
	d := &DelayConn{
		Conn:   conn,
		oneWay: oneWay,
		in:     make(chan chunk, chunkQueue),
		out:    make(chan chunk, chunkQueue),
		closed: make(chan struct{}),
	}
	go d.delayReads()
	go d.delayWrites()
	return d
}

func (d *DelayConn) delayReads() {
	for {
		buffer := make([]byte, chunkSize)
		n, err := d.Conn.Read(buffer)
		c := chunk{due: time.Now().Add(d.oneWay), data: buffer[:n], err: err}
		select {
		case d.in <- c:
		case <-d.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

func (d *DelayConn) delayWrites() {
	for {
		select {
		case c := <-d.out:
			time.Sleep(time.Until(c.due))
			if _, err := d.Conn.Write(c.data); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}

// Read returns received bytes after the delay.
func (d *DelayConn) Read(p []byte) (int, error) {
	if len(d.unread) == 0 {
		if err := d.nextChunk(); err != nil {
			return 0, err
		}
	}
	n := copy(p, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

func (d *DelayConn) nextChunk() error {
	select {
	case c := <-d.in:
		time.Sleep(time.Until(c.due))
		d.unread = c.data
		if len(c.data) == 0 {
			return c.err
		}
		if c.err != nil {
			d.in <- chunk{due: c.due, err: c.err}
		}
		return nil
	case <-d.closed:
		return io.EOF
	}
}

// Write queues bytes that are sent after the delay.
func (d *DelayConn) Write(p []byte) (int, error) {
	c := chunk{due: time.Now().Add(d.oneWay), data: append([]byte(nil), p...)}
	select {
	case d.out <- c:
		return len(p), nil
	case <-d.closed:
		return 0, io.ErrClosedPipe
	}
}

// Close closes the connection at once and discards queued bytes.
func (d *DelayConn) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
