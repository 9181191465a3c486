package peer

import (
	"context"
	"io"
	"sync"

	"siskincove/peer/wire"
)

const localQueue = 16

// local is one end of a stream inside an instance.
type local struct {
	in     <-chan *wire.Frame
	out    chan<- *wire.Frame
	closed chan struct{}
	once   *sync.Once
	ctx    context.Context
}

// Pipe returns the two ends of a stream inside an instance; both end with ctx or when either closes.
func Pipe(ctx context.Context) (Stream, Stream) {
	forth := make(chan *wire.Frame, localQueue)
	back := make(chan *wire.Frame, localQueue)
	closed := make(chan struct{})
	once := &sync.Once{}
	a := &local{in: back, out: forth, closed: closed, once: once, ctx: ctx}
	b := &local{in: forth, out: back, closed: closed, once: once, ctx: ctx}
	return a, b
}

// Send hands the frame to the other end.
func (l *local) Send(frame *wire.Frame) error {
	select {
	case <-l.closed:
		return io.ErrClosedPipe
	default:
	}
	select {
	case l.out <- frame:
		return nil
	case <-l.closed:
		return io.ErrClosedPipe
	case <-l.ctx.Done():
		return l.ctx.Err()
	}
}

// Receive takes the next frame, also one that was sent before the other end closed.
func (l *local) Receive() (*wire.Frame, error) {
	select {
	case frame := <-l.in:
		return frame, nil
	default:
	}
	select {
	case frame := <-l.in:
		return frame, nil
	case <-l.closed:
		return l.drain()
	case <-l.ctx.Done():
		return nil, l.ctx.Err()
	}
}

func (l *local) drain() (*wire.Frame, error) {
	select {
	case frame := <-l.in:
		return frame, nil
	default:
		return nil, io.EOF
	}
}

// Close ends the stream at both ends.
func (l *local) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Release ends the stream at both ends.
func (l *local) Release() { _ = l.Close() }
