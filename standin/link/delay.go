package link

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkSize  = 32 << 10
	chunkQueue = 256
)

// chunk is bytes that become readable at due.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// DelayConn is a connection whose bytes arrive after a one-way delay in each direction.
type DelayConn struct {
	net.Conn
	oneWay time.Duration
	in     chan chunk
	out    chan chunk
	rest   []byte
	closed chan struct{}
	once   sync.Once
}

// Delay wraps conn; it returns conn itself when the delay is zero.
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
	go d.pumpIn()
	go d.pumpOut()
	return d
}

func (d *DelayConn) pumpIn() {
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

func (d *DelayConn) pumpOut() {
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

// Read returns bytes whose delay has passed.
func (d *DelayConn) Read(p []byte) (int, error) {
	if len(d.rest) == 0 {
		if err := d.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

func (d *DelayConn) next() error {
	select {
	case c := <-d.in:
		time.Sleep(time.Until(c.due))
		d.rest = c.data
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

// Write queues bytes that leave after the delay.
func (d *DelayConn) Write(p []byte) (int, error) {
	c := chunk{due: time.Now().Add(d.oneWay), data: append([]byte(nil), p...)}
	select {
	case d.out <- c:
		return len(p), nil
	case <-d.closed:
		return 0, io.ErrClosedPipe
	}
}

// Close ends the connection at once, with what was queued.
func (d *DelayConn) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Conn.Close()
}
