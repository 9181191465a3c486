package peer

import (
	"context"

	"github.com/cockroachdb/errors"

	"siskincove/peer/wire"
)

// Call sends a request frame to the instance at address and returns the response frame.
func Call(ctx context.Context, dialer Dialer, address string, request *wire.Frame) (*wire.Frame, error) {
	stream, err := dialer.Open(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(request); err != nil {
		_ = stream.Close()
		return nil, errors.Wrapf(err, "calling %s", address)
	}
	reply, err := stream.Receive()
	if err != nil {
		_ = stream.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, errors.Wrapf(err, "calling %s", address)
	}
	stream.Release()
	return reply, nil
}
