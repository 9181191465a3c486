package instance

import (
	"context"

	"siskincove/peer"
	"siskincove/peer/wire"
)

// Serve passes an exchange to the component that handles its first frame. It reports whether the stream may carry another
// exchange.
func (i *Instance) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) bool {
	<-i.initialized
	if i.members.Serve(first, stream) || i.revisions.Serve(first, stream) {
		return true
	}
	if request := first.GetCancel(); request != nil && request.GetEndpoint() == "" {
		i.entry.Cancel(request.GetProcess(), request.GetSecret())
		return false
	}
	return i.pools.Serve(ctx, first, stream)
}
