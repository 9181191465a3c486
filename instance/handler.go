package instance

import (
	"context"

	"siskincove/peer"
	"siskincove/peer/wire"
)

// Serve hands an exchange to the part that serves its first frame.
func (i *Instance) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	<-i.wired
	if i.members.Serve(first, stream) || i.follower.Serve(first, stream) {
		return true
	}
	if request := first.GetCancel(); request != nil && request.GetEndpoint() == "" {
		i.entry.Cancel(request.GetProcess(), request.GetSecret())
		return false
	}
	return i.owner.Serve(ctx, first, stream)
}
