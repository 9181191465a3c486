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
	// Close ends the exchange in both directions.
	Close() error
}

// Dialer opens streams to other instances by their address.
type Dialer interface {
	// Open starts a stream that ends with ctx; an error means that nothing was sent.
	Open(ctx context.Context, address string) (Stream, error)
}

// Handler serves a stream that a peer opened, of which first is the first frame; ctx ends with the stream's connection.
type Handler interface {
	Serve(ctx context.Context, first *wire.Frame, stream Stream)
}
