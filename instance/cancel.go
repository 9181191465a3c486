package instance

import (
	"context"
	"time"

	"siskincove/entry"
	"siskincove/peer/wire"
)

const forwardTimeout = 2 * time.Second

// forward sends a caller's cancel request to the instances whose sessions may have the process number.
func (i *Instance) forward(ctx context.Context, process, secret uint32) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	for _, other := range i.members.Live() {
		if other.ID == i.settings.Instance.ID || !entry.MayHaveIssued(other.ID, process) {
			continue
		}
		stream, err := i.node.Open(ctx, other.Address)
		if err != nil {
			continue
		}
		request := &wire.Cancel{Process: process, Secret: secret}
		if stream.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: request}}) == nil {
			_, _ = stream.Receive()
		}
		_ = stream.Close()
	}
}
