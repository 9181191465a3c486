package revision

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/platform/rows"
	"siskincove/standin/hosting"
	"siskincove/store"
)

var errDown = errors.New("down")

// faultyStore is a store that can be unavailable or return an outdated head row.
type faultyStore struct {
	*rows.Client
	mu        sync.Mutex
	down      bool
	staleHead *store.Page
}

func (s *faultyStore) Range(ctx context.Context, table, part, from, to string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Page{}, errDown
	}
	if s.staleHead != nil {
		return *s.staleHead, nil
	}
	return s.Client.Range(ctx, table, part, from, to)
}

// newStoreClient starts a stand-in for the store and returns a client of it.
func newStoreClient(t *testing.T) *rows.Client {
	t.Helper()
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return rows.New(s.Address())
}

func (s *faultyStore) set(edit func(*faultyStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

// fakePeers is a dialer to peers, by address, that answer Fetch with the given objects.
type fakePeers map[string]*wire.Objects

func (p fakePeers) Open(ctx context.Context, address string) (peer.Stream, error) {
	objects, ok := p[address]
	if !ok {
		return nil, errDown
	}
	local, remote := peer.Pipe(ctx)
	go func() {
		if _, err := remote.Receive(); err == nil {
			_ = remote.Send(&wire.Frame{Body: &wire.Frame_Objects{Objects: objects}})
		}
	}()
	return local, nil
}

func encodeSet(t *testing.T, name string) []byte {
	t.Helper()
	data, err := config.Set{Services: []config.Service{{Name: name}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// harness runs a tracker with a manual clock and records the revisions it applies.
type harness struct {
	t       *testing.T
	clock   *clock.Manual
	tracker *Tracker
	store   *faultyStore
	mu      sync.Mutex
	applied []string
}

func startTracker(t *testing.T, s *faultyStore, p fakePeers) *harness {
	h := &harness{t: t, clock: clock.NewManual(time.Unix(1_000_000, 0)), store: s}
	ctx, cancel := context.WithCancel(context.Background())
	h.tracker = New(ctx, Options{
		Clock: h.clock, Logger: event.Discard(), Rows: s, Objects: s, Dialer: p, ShouldPoll: func() bool { return true },
		Apply: func(c *config.Catalog, _ bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.applied = append(h.applied, c.Set.Services[0].Name)
		},
	})
	t.Cleanup(func() {
		cancel()
		<-h.tracker.Done()
	})
	return h
}

// advance moves the tracker's clock by d in small steps.
func (h *harness) advance(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		h.clock.Advance(100 * time.Millisecond)
		time.Sleep(3 * time.Millisecond)
	}
}

func (h *harness) expect(names ...string) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if diff := cmp.Diff(names, h.applied); diff != "" {
		h.t.Errorf("revisions applied: %s", diff)
	}
}

func (h *harness) publish(name string, base uint64) {
	h.t.Helper()
	set := config.Set{Services: []config.Service{{Name: name}}}
	_, err := config.Publish(context.Background(), h.store.Client, h.store.Client, config.Publication{Set: set, Operation: name, Base: base})
	if err != nil {
		h.t.Fatal(err)
	}
}

func TestTracker(t *testing.T) {
	objects := func(revision uint64, name string) *wire.Objects {
		data := encodeSet(t, name)
		return &wire.Objects{Revision: revision, Hash: config.Hash(data), Data: data}
	}
	forged := objects(9, "forged")
	forged.Data = encodeSet(t, "other")
	dialer := fakePeers{"fifth": objects(5, "fifth"), "sixth": objects(6, "sixth"), "forged": forged}
	tests := map[string]struct {
		run  func(*harness)
		want []string
	}{
		"revisions polled from the store": {
			run: func(h *harness) {
				h.publish("first", 0)
				h.advance(2 * time.Second)
				h.publish("second", 1)
				h.advance(3 * time.Second)
			},
			want: []string{"first", "second"},
		},
		"store returns an older head": {
			run: func(h *harness) {
				h.publish("first", 0)
				old, _ := h.store.Client.Range(context.Background(), "revisions", "", "head", "")
				h.publish("second", 1)
				h.advance(2 * time.Second)
				h.store.set(func(s *faultyStore) { s.staleHead = &old })
				h.advance(3 * time.Second)
			},
			want: []string{"second"},
		},
		"new instance, store down": {
			run: func(h *harness) {
				h.store.set(func(s *faultyStore) { s.down = true })
				h.tracker.RecordPeerRevision(5, "fifth")
				h.tracker.RecordPeerRevision(6, "sixth")
				h.advance(4 * time.Second)
			},
			want: []string{"sixth"},
		},
		"new instance reads the store first": {
			run: func(h *harness) {
				h.publish("first", 0)
				h.advance(500 * time.Millisecond)
				h.tracker.RecordPeerRevision(6, "sixth")
				h.advance(time.Second)
			},
			want: []string{"first", "sixth"},
		},
		"lower revisions are ignored": {
			run: func(h *harness) {
				h.store.set(func(s *faultyStore) { s.down = true })
				h.tracker.RecordPeerRevision(6, "sixth")
				h.advance(3 * time.Second)
				h.tracker.RecordPeerRevision(5, "fifth")
				h.advance(2 * time.Second)
			},
			want: []string{"sixth"},
		},
		"objects do not match their hash": {
			run: func(h *harness) {
				h.store.set(func(s *faultyStore) { s.down = true })
				h.tracker.RecordPeerRevision(9, "forged")
				h.advance(3 * time.Second)
			},
		},
		"peer gone, then announced by another": {
			run: func(h *harness) {
				h.store.set(func(s *faultyStore) { s.down = true })
				h.tracker.RecordPeerRevision(6, "gone")
				h.advance(3 * time.Second)
				h.tracker.RecordPeerRevision(6, "sixth")
				h.advance(2 * time.Second)
			},
			want: []string{"sixth"},
		},
		"store down, no announcement": {
			run: func(h *harness) {
				h.store.set(func(s *faultyStore) { s.down = true })
				h.advance(5 * time.Second)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := startTracker(t, &faultyStore{Client: newStoreClient(t)}, dialer)
			test.run(h)
			h.expect(test.want...)
		})
	}
}

// slowPeer is a dialer to a tracker at any address, over a link of 10 Mbit/s.
type slowPeer struct{ tracker *Tracker }

func (p slowPeer) Open(ctx context.Context, _ string) (peer.Stream, error) {
	local, remote := peer.Pipe(ctx)
	go func() {
		for frame, err := remote.Receive(); err == nil; frame, err = remote.Receive() {
			p.tracker.Serve(frame, slowStream{remote})
		}
	}()
	return local, nil
}

type slowStream struct{ peer.Stream }

func (s slowStream) Send(frame *wire.Frame) error {
	const bytesPerSecond = 10_000_000 / 8
	time.Sleep(time.Duration(proto.Size(frame)) * time.Second / bytesPerSecond)
	return s.Stream.Send(frame)
}

// largeSet returns the objects of a large revision with a service of the given name first.
func largeSet(t *testing.T, first string) []byte {
	t.Helper()
	set := config.Set{Services: []config.Service{{Name: first, Route: "r"}}}
	for n := range 1000 {
		set.Services = append(set.Services, config.Service{Name: fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(n)))), Route: "r"})
	}
	data, err := set.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestRevisionWithEqualChecksum guards against a revision that a peer never supplies while the store is away, since one of its pieces has
// the XXH64 checksum of a piece of the revision before.
func TestRevisionWithEqualChecksum(t *testing.T) {
	const first, second = "00000000000c2nhpdum-24-bytes-between-them--zm3xiy9f-24-bytes-after-the-two-", "000000000005jqbsg6f-24-bytes-between-them--absm7hrq-24-bytes-after-the-two-"
	options := Options{Clock: clock.System{}, Logger: event.Discard(), Apply: func(*config.Catalog, bool) {}}
	before, after := largeSet(t, first), largeSet(t, second)
	supplier := &Tracker{options: options}
	supplier.apply(8, config.Hash(after), after)
	receiver := &Tracker{options: options}
	receiver.options.Dialer, receiver.options.Self = slowPeer{supplier}, "receiver"
	receiver.apply(7, config.Hash(before), before)
	objects, err := receiver.fetch(t.Context(), Announcement{Number: 8, Address: "supplier"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(after), string(objects.GetData())); diff != "" {
		t.Error("objects of another revision")
	}
}

// TestLargeRevisionOverSlowLink guards against a revision that a peer never supplies while the store is away, since its objects are sent
// whole within a fixed time.
func TestLargeRevisionOverSlowLink(t *testing.T) {
	const applyBound = 11 * time.Second
	set := config.Set{}
	for n := range 60_000 {
		set.Services = append(set.Services, config.Service{Name: fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(n)))), Route: "r"})
	}
	data, err := set.Encode()
	if err != nil {
		t.Fatal(err)
	}
	supplier := &Tracker{options: Options{Clock: clock.System{}, Logger: event.Discard(), Apply: func(*config.Catalog, bool) {}}}
	supplier.apply(7, config.Hash(data), data)
	applied := make(chan uint64, 1)
	down := &faultyStore{down: true}
	receiver := New(t.Context(), Options{
		Clock: clock.System{}, Logger: event.Discard(), Rows: down, Objects: down, Dialer: slowPeer{supplier}, ShouldPoll: func() bool { return true },
		Self: "receiver", Apply: func(*config.Catalog, bool) { applied <- 7 },
	})
	for end := time.After(applyBound); ; {
		receiver.RecordPeerRevision(7, "supplier")
		select {
		case <-applied:
			return
		case <-time.After(500 * time.Millisecond):
		case <-end:
			t.Fatalf("%d bytes were not applied within %s", len(data), applyBound)
		}
	}
}
