package member

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// list is a roster that can be read at once.
type list []Instance

func (l list) List(context.Context) ([]Instance, error) { return l, nil }

// slowSeeds is a dialer that reaches one driver at some addresses, all over one link of 10 Mbit/s.
type slowSeeds struct {
	addresses []string
	driver    *Driver
	link      *sync.Mutex
}

func (s slowSeeds) Open(ctx context.Context, address string) (peer.Stream, error) {
	if !slices.Contains(s.addresses, address) {
		return unavailable{}.Open(ctx, address)
	}
	local, remote := peer.Pipe(ctx)
	go func() {
		for frame, err := remote.Receive(); err == nil; frame, err = remote.Receive() {
			s.driver.Serve(frame, slowStream{remote, s.link})
		}
	}()
	return local, nil
}

// answering is a dialer to instances, by address, that answer heartbeats.
type answering map[string]Instance

func (a answering) Open(ctx context.Context, address string) (peer.Stream, error) {
	local, remote := peer.Pipe(ctx)
	go func() {
		if _, err := remote.Receive(); err == nil {
			i := a[address]
			_ = remote.Send(&wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
				Id: i.ID, Address: i.Address, Domain: i.Domain, Incarnation: i.Incarnation,
			}}})
		}
	}()
	return local, nil
}

type slowStream struct {
	peer.Stream
	link *sync.Mutex
}

func (s slowStream) Send(frame *wire.Frame) error {
	const bytesPerSecond = 10_000_000 / 8
	s.link.Lock()
	time.Sleep(time.Duration(proto.Size(frame)) * time.Second / bytesPerSecond)
	s.link.Unlock()
	return s.Stream.Send(frame)
}

// TestSeedsNameManyInstances guards against an instance that never learns of the others while the store is away, since each seed names all
// of them in one reply that has to arrive in the time of a heartbeat.
func TestSeedsNameManyInstances(t *testing.T) {
	const (
		instances = 3800
		bound     = 5 * time.Second
	)
	var all list
	for n := range instances {
		id := fmt.Sprintf("frontend-khangai-a-%04d", n)
		all = append(all, Instance{ID: id, Address: fmt.Sprintf("10.1.%d.%d:8122", n/250, n%250), Domain: "khangai/khangai-a", Incarnation: 1_760_000_000_000_000_000})
	}
	reachable := make(answering)
	for _, i := range all {
		reachable[i.Address] = i
	}
	ctx, cancel := context.WithCancel(t.Context())
	start := func(self Instance, o Options) *Driver {
		self.Incarnation = 1
		o.Self, o.Clock, o.Logger, o.Revisions = self, clock.System{}, event.Discard(), unavailable{}
		o.OnChange, o.OnDeath, o.PresumeUnproven = func(string) {}, func(string) {}, true
		return New(ctx, o)
	}
	known := start(all[0], Options{Roster: all, Dialer: reachable})
	seeds := slowSeeds{[]string{all[0].Address, all[2].Address, all[3].Address}, known, &sync.Mutex{}}
	unknown := start(all[1], Options{Roster: unavailable{}, Dialer: seeds, Seeds: func() []string { return seeds.addresses }})
	defer func() {
		cancel()
		<-known.Done()
		<-unknown.Done()
	}()
	for end := time.Now().Add(bound); ; time.Sleep(10 * time.Millisecond) {
		_, settled := unknown.InstanceCount()
		if n := len(unknown.Instances()) + 1; settled && n == instances {
			return
		} else if time.Now().After(end) {
			t.Fatalf("%d of %d instances known within %s, all: %t", n, instances, bound, settled)
		}
	}
}
