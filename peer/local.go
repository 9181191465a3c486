package peer

import (
	"context"
	"io"
	"sync"

	"siskincove/peer/wire"
)

const localQueueFrames = 16

// localStream is one end of a stream within an instance.
type localStream struct {
	in     <-chan *wire.Frame
	out    chan<- *wire.Frame
	closed chan struct{}
	once   *sync.Once
	ctx    context.Context
}

// Pipe returns the two ends of a stream within an instance. Both end with ctx or when either is closed.
func Pipe(ctx context.Context) (Stream, Stream) {
	aToB := make(chan *wire.Frame, localQueueFrames)
	bToA := make(chan *wire.Frame, localQueueFrames)
	closed := make(chan struct{})
	once := &sync.Once{}
	a := &localStream{in: bToA, out: aToB, closed: closed, once: once, ctx: ctx}
	b := &localStream{in: aToB, out: bToA, closed: closed, once: once, ctx: ctx}
	return a, b
}

// Send queues the frame for the other end and blocks while the queue is full.
func (l *localStream) Send(frame *wire.Frame) error {
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

// Receive returns the next frame. Frames that were sent before the stream was closed are still delivered.
func (l *localStream) Receive() (*wire.Frame, error) {
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

func (l *localStream) drain() (*wire.Frame, error) {
	select {
	case frame := <-l.in:
		return frame, nil
	default:
		return nil, io.EOF
	}
}

// Close closes both ends of the stream.
func (l *localStream) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Release closes both ends of the stream, since a local stream isn't reused.
func (l *localStream) Release() { _ = l.Close() }
