package peer

import (
	"context"

	"siskincove/peer/wire"
)

// Stream is one exchange of frames; Send and Receive may be used by one goroutine each.
type Stream interface {
	// Send writes a frame.
	Send(frame *wire.Frame) error
	// Receive reads the next frame, or fails once the stream or its context has ended.
	Receive() (*wire.Frame, error)
	// Close ends the exchange in both directions and whatever of it is still under way.
	Close() error
	// Release ends an exchange whose last frame has been received; the stream may then carry another one.
	Release()
}

// Dialer opens streams to other instances by their address.
type Dialer interface {
	// Open starts a stream that ends with ctx; an error means that nothing was sent.
	Open(ctx context.Context, address string) (Stream, error)
}

// Handler serves exchanges that peers begin.
type Handler interface {
	// Serve serves one exchange, of which first is the first frame, and reports whether it ended with its last frame
	// sent, so that the stream may carry another; ctx ends with the stream's connection.
	Serve(ctx context.Context, first *wire.Frame, stream Stream) bool
}
