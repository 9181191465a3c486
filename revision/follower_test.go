package revision

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

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

// source is a store that can be down, or answer with an older head than before.
type source struct {
	*rows.Client
	mu   sync.Mutex
	down bool
	old  *store.Page
}

func (s *source) Range(ctx context.Context, table, part, from, to string) (store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Page{}, errDown
	}
	if s.old != nil {
		return *s.old, nil
	}
	return s.Client.Range(ctx, table, part, from, to)
}

// begun starts a store and returns its client.
func begun(t *testing.T) *rows.Client {
	t.Helper()
	s, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return rows.New(s.Address())
}

func (s *source) set(edit func(*source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit(s)
}

// peers is a dialer to peers that answer Fetch with the objects that they are given.
type peers map[string]*wire.Objects

func (p peers) Open(ctx context.Context, address string) (peer.Stream, error) {
	objects, ok := p[address]
	if !ok {
		return nil, errDown
	}
	near, far := peer.Pipe(ctx)
	go func() {
		if _, err := far.Receive(); err == nil {
			_ = far.Send(&wire.Frame{Body: &wire.Frame_Objects{Objects: objects}})
		}
	}()
	return near, nil
}

func encoded(t *testing.T, name string) []byte {
	t.Helper()
	data, err := config.Set{Services: []config.Service{{Name: name}}}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// bench is a follower whose time is moved by hand.
type bench struct {
	t        *testing.T
	clock    *clock.Manual
	follower *Follower
	source   *source
	mu       sync.Mutex
	applied  []string
}

func begin(t *testing.T, s *source, p peers) *bench {
	b := &bench{t: t, clock: clock.NewManual(time.Unix(1_000_000, 0)), source: s}
	ctx, cancel := context.WithCancel(context.Background())
	b.follower = New(ctx, Options{
		Clock: b.clock, Logger: event.Discard(), Rows: s, Objects: s, Dialer: p, Polls: func() bool { return true },
		Apply: func(c *config.Catalog, _ bool) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.applied = append(b.applied, c.Set.Services[0].Name)
		},
	})
	t.Cleanup(func() {
		cancel()
		<-b.follower.Done()
	})
	return b
}

// pass lets an amount of the follower's time go by in small steps.
func (b *bench) pass(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		b.clock.Advance(100 * time.Millisecond)
		time.Sleep(3 * time.Millisecond)
	}
}

func (b *bench) expect(names ...string) {
	b.t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if diff := cmp.Diff(names, b.applied); diff != "" {
		b.t.Errorf("revisions that came into force: %s", diff)
	}
}

func (b *bench) publish(name string, base uint64) {
	b.t.Helper()
	set := config.Set{Services: []config.Service{{Name: name}}}
	_, err := config.Publish(context.Background(), b.source.Client, b.source.Client, config.Publication{Set: set, Operation: name, Base: base})
	if err != nil {
		b.t.Fatal(err)
	}
}

func TestFollower(t *testing.T) {
	objects := func(revision uint64, name string) *wire.Objects {
		data := encoded(t, name)
		return &wire.Objects{Revision: revision, Hash: config.Hash(data), Data: data}
	}
	forged := objects(9, "forged")
	forged.Data = encoded(t, "other")
	all := peers{"fifth": objects(5, "fifth"), "sixth": objects(6, "sixth"), "forged": forged}
	tests := map[string]struct {
		run  func(*bench)
		want []string
	}{
		"from the table": {
			run: func(b *bench) {
				b.publish("first", 0)
				b.pass(2 * time.Second)
				b.publish("second", 1)
				b.pass(3 * time.Second)
			},
			want: []string{"first", "second"},
		},
		"table goes back": {
			run: func(b *bench) {
				b.publish("first", 0)
				old, _ := b.source.Client.Range(context.Background(), "revisions", "", "head", "")
				b.publish("second", 1)
				b.pass(2 * time.Second)
				b.source.set(func(s *source) { s.old = &old })
				b.pass(3 * time.Second)
			},
			want: []string{"second"},
		},
		"new instance, platform down": {
			run: func(b *bench) {
				b.source.set(func(s *source) { s.down = true })
				b.follower.Heard(5, "fifth")
				b.follower.Heard(6, "sixth")
				b.pass(4 * time.Second)
			},
			want: []string{"sixth"},
		},
		"new instance asks the table first": {
			run: func(b *bench) {
				b.publish("first", 0)
				b.pass(500 * time.Millisecond)
				b.follower.Heard(6, "sixth")
				b.pass(time.Second)
			},
			want: []string{"first", "sixth"},
		},
		"lower revisions are not taken": {
			run: func(b *bench) {
				b.source.set(func(s *source) { s.down = true })
				b.follower.Heard(6, "sixth")
				b.pass(3 * time.Second)
				b.follower.Heard(5, "fifth")
				b.pass(2 * time.Second)
			},
			want: []string{"sixth"},
		},
		"objects that do not fit their hash": {
			run: func(b *bench) {
				b.source.set(func(s *source) { s.down = true })
				b.follower.Heard(9, "forged")
				b.pass(3 * time.Second)
			},
		},
		"peer gone, then heard of from another": {
			run: func(b *bench) {
				b.source.set(func(s *source) { s.down = true })
				b.follower.Heard(6, "gone")
				b.pass(3 * time.Second)
				b.follower.Heard(6, "sixth")
				b.pass(2 * time.Second)
			},
			want: []string{"sixth"},
		},
		"nothing known": {
			run: func(b *bench) {
				b.source.set(func(s *source) { s.down = true })
				b.pass(5 * time.Second)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := begin(t, &source{Client: begun(t)}, all)
			test.run(b)
			b.expect(test.want...)
		})
	}
}
