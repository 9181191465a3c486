package instance

import (
	"context"

	"siskincove/peer"
	"siskincove/peer/wire"
)

// Serve hands a peer's stream to the part that serves its first frame.
func (i *Instance) Serve(ctx context.Context, first *wire.Frame, stream peer.Stream) {
	<-i.wired
	switch {
	case i.members.Serve(first, stream):
	case i.owner.Serve(ctx, first, stream):
	case i.follower.Serve(first, stream):
	case first.GetCancel() != nil:
		i.entry.Cancel(first.GetCancel().GetProcess(), first.GetCancel().GetSecret())
	}
}
