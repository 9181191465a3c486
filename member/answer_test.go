package member

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// TestReplyFollowsRequest guards against a reply that was computed before the request was processed: it told which writes were acknowledged
// before this instance knew of the promotion in the request, and those acknowledged in between were passed on untold (issue 53).
func TestReplyFollowsRequest(t *testing.T) {
	var order []string
	ctx, cancel := context.WithCancel(t.Context())
	d := New(ctx, Options{
		Self: selfInstance(), Clock: clock.System{}, Logger: event.Discard(), Dialer: unavailable{}, Roster: unavailable{},
		Revisions: unavailable{}, OnChange: func(string) {}, OnDeath: func(string) {},
		OnHeartbeat: func(h *wire.Heartbeat, _ time.Time) { order = append(order, "request of "+h.GetId()) },
		ExtendHeartbeat: func(_, request *wire.Heartbeat) {
			if request != nil {
				order = append(order, "reply to "+request.GetId())
			}
		},
	})
	local, remote := peer.Pipe(ctx)
	request := &wire.Heartbeat{Id: "b", Address: "127.0.0.1:2", Domain: "r/a", Incarnation: 1}
	served := d.Serve(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: request}}, remote)
	_, err := local.Receive()
	cancel()
	<-d.Done()
	if !served || err != nil {
		t.Fatalf("the request was not answered: %v", err)
	}
	if diff := cmp.Diff([]string{"request of b", "reply to b"}, order); diff != "" {
		t.Error(diff)
	}
}
