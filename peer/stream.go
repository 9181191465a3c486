package peer

import (
	"context"

	"siskincove/peer/wire"
)

// Stream is an exchange of frames. Send and Receive may each be called by one goroutine at a time.
type Stream interface {
	// Send sends a frame.
	Send(frame *wire.Frame) error
	// Receive returns the next frame, or an error once the stream or its context has ended.
	Receive() (*wire.Frame, error)
	// Close ends the exchange in both directions and aborts what is still in progress.
	Close() error
	// Release ends an exchange whose last frame has been received, so that the stream can be reused.
	Release()
}

// Dialer opens streams to other instances.
type Dialer interface {
	// Open returns a stream to the instance at address that ends with ctx. On error nothing has been sent.
	Open(ctx context.Context, address string) (Stream, error)
}

// Handler serves exchanges started by peers.
type Handler interface {
	// Serve serves one exchange that starts with the frame first. It returns true if the exchange's last frame was sent,
	// so that the stream can be reused. ctx ends with the stream's connection.
	Serve(ctx context.Context, first *wire.Frame, stream Stream) bool
}
