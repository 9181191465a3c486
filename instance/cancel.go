package instance

import (
	"context"
	"time"

	"siskincove/entry"
	"siskincove/peer/wire"
)

const cancelForwardTimeout = 2 * time.Second

// forwardCancel sends a caller's cancel request to the other instances that may have issued the process number. Failures
// are not reported, since a cancel request has no answer.
func (i *Instance) forwardCancel(ctx context.Context, process, secret uint32) {
	ctx, cancel := context.WithTimeout(ctx, cancelForwardTimeout)
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
