package member

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// unavailable is a roster that can't be read and a network that reaches nobody.
type unavailable struct{}

func (unavailable) List(context.Context) ([]Instance, error) { return nil, errors.New("store is down") }

func (unavailable) Open(context.Context, string) (peer.Stream, error) {
	return nil, errors.New("unreachable")
}

func (unavailable) Revision() (uint64, string) { return 0, "" }

func (unavailable) RecordPeerRevision(uint64, string) {}

// TestInstancesKnown guards against an instance that divides the connections of endpoints among the few others that it knows:
// after a restart, the first heartbeat of a peer that knew all others made it believe that it knew them too, so that it
// opened half of an endpoint's connections.
func TestInstancesKnown(t *testing.T) {
	settled := &wire.Heartbeat{Id: "b", Address: "127.0.0.1:2", Domain: "r/a", Incarnation: 1, Settled: true}
	tests := map[string]struct {
		apply func(d *Driver)
		want  bool
	}{
		"nothing":                       {apply: func(*Driver) {}, want: false},
		"request of a peer that knows":  {apply: func(d *Driver) { d.ApplyHeartbeat(settled) }, want: false},
		"reply of a peer that knows":    {apply: func(d *Driver) { d.applyReply(&wire.Heartbeat{}, settled) }, want: true},
		"reply of one that does not":    {apply: func(d *Driver) { d.applyReply(&wire.Heartbeat{}, &wire.Heartbeat{Id: "b"}) }, want: false},
		"reply that does not name them": {apply: func(d *Driver) { d.applyReply(&wire.Heartbeat{Settled: true}, settled) }, want: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			d := New(ctx, Options{
				Self: selfInstance(), Clock: clock.System{}, Logger: event.Discard(), Dialer: unavailable{}, Roster: unavailable{},
				Revisions: unavailable{}, OnChange: func(string) {}, OnDeath: func(string) {},
			})
			test.apply(d)
			_, known := d.InstanceCount()
			cancel()
			<-d.Done()
			if diff := cmp.Diff(test.want, known); diff != "" {
				t.Error(diff)
			}
		})
	}
}
