package directory

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/store"
)

// answer is what the scripted store gives for one call. A call of another kind than expected fails the test.
type answer struct {
	call    string
	page    store.Page
	changes store.Changes
	err     error
	// takes is how long the store holds the call.
	takes time.Duration
}

// scriptedRows answers calls from a list and records how long each call may wait.
type scriptedRows struct {
	t       *testing.T
	clock   *clock.Manual
	answers []answer
	waits   []time.Duration
}

func (s *scriptedRows) next(call string) answer {
	s.t.Helper()
	if len(s.answers) == 0 || s.answers[0].call != call {
		s.t.Fatalf("unexpected %s, want %v", call, s.answers)
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	s.clock.Advance(a.takes)
	return a
}

func (s *scriptedRows) Commit(context.Context, store.Transaction) (store.Version, error) {
	return 0, s.next("commit").err
}

func (s *scriptedRows) Range(context.Context, string, string, string, string) (store.Page, error) {
	a := s.next("range")
	return a.page, a.err
}

func (s *scriptedRows) Follow(_ context.Context, _ string, _ store.Version, wait time.Duration) (store.Changes, error) {
	if shortest := time.Duration((1 - jitter) * float64(endpointWait)); wait >= shortest && wait <= endpointWait {
		wait = endpointWait
	}
	s.waits = append(s.waits, wait)
	a := s.next("follow")
	return a.changes, a.err
}

func listed(name string) store.Change {
	return store.Change{Row: store.Row{Key: store.Key{Key: name}, Value: []byte("replica ready 1")}}
}

// TestEndpointFeed guards against a feed that loses changes: when the store has dropped them, when a call fails, when an endpoint
// vanishes, which must be noticed once it has been missing for missingGrace, and when the feed itself misses something.
func TestEndpointFeed(t *testing.T) {
	read := func(version store.Version, all map[string]string) answer {
		return answer{call: "range", page: store.Page{Rows: rows(all), Version: version}}
	}
	a := map[string]string{"a": "replica ready 1"}
	ab := map[string]string{"a": "replica ready 1", "b": "replica ready 1"}
	delisted := store.Change{Row: store.Row{Key: store.Key{Key: "b"}}, Deleted: true}
	otherPart := store.Change{Row: store.Row{Key: store.Key{Part: "p", Key: "c"}, Value: []byte("replica ready 1")}}
	tests := map[string]struct {
		answers []answer
		want    []string
		// waits are how long the store may hold the calls of the feed.
		waits []time.Duration
		// quiet is whether the next call may follow without a pause.
		quiet bool
	}{
		"nothing changes": {
			answers: []answer{read(1, a), {call: "follow", changes: store.Changes{Version: 4}, takes: endpointWait}},
			want:    []string{"a"}, waits: []time.Duration{endpointWait}, quiet: true,
		},
		"the store answers at once without changes": {
			answers: []answer{read(1, a), {call: "follow", changes: store.Changes{Version: 4}}},
			want:    []string{"a"}, waits: []time.Duration{endpointWait},
		},
		"an endpoint is added": {
			answers: []answer{read(1, a), {call: "follow", changes: store.Changes{Changes: []store.Change{listed("b"), otherPart}, Version: 3}}},
			want:    []string{"a", "b"}, waits: []time.Duration{endpointWait},
		},
		"an endpoint vanishes": {
			answers: []answer{
				read(1, ab),
				{call: "follow", changes: store.Changes{Changes: []store.Change{delisted}, Version: 3}},
				{call: "follow", changes: store.Changes{Version: 3}, takes: pollInterval},
			},
			want: []string{"a", "b"}, waits: []time.Duration{endpointWait, pollInterval}, quiet: true,
		},
		"a call fails": {
			answers: []answer{
				read(1, a),
				{call: "follow", err: store.ErrRejected},
				{call: "follow", changes: store.Changes{Changes: []store.Change{listed("b")}, Version: 3}},
				{call: "follow", changes: store.Changes{Version: 3}, takes: endpointWait},
			},
			want: []string{"a", "b"}, waits: []time.Duration{endpointWait, 0, endpointWait}, quiet: true,
		},
		"the store has dropped its history, and may do so again": {
			answers: []answer{
				read(1, a),
				{call: "follow", err: store.ErrCompacted},
				read(5, ab),
				{call: "range", page: store.Page{Rows: rows(ab), Version: 6}, takes: plainReads},
				{call: "follow", changes: store.Changes{Version: 7}, takes: endpointWait},
			},
			want: []string{"a", "b"}, waits: []time.Duration{endpointWait, endpointWait}, quiet: true,
		},
		"the feed misses a change": {
			answers: []answer{read(1, a), {call: "follow", changes: store.Changes{Version: 4}, takes: rereadInterval}, read(5, ab)},
			want:    []string{"a", "b"}, waits: []time.Duration{endpointWait},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(epoch)
			s := &scriptedRows{t: t, clock: clk, answers: test.answers}
			d := &Directory{options: Options{
				Rows: s, Decoder: wordDecoder{}, Clock: clk, Logger: event.Discard(), Apply: func(*config.Catalog, map[string]string) {},
				Regions: func() map[string]string { return nil },
			}, unavailableSince: make(map[string]time.Time), contacts: make(map[string]contact)}
			feed, quiet := endpointFeed{}, false
			for len(s.answers) > 0 {
				feed, quiet, _ = d.pollOnce(context.Background(), feed)
			}
			var names []string
			for name := range d.snapshot.entries {
				names = append(names, name)
			}
			slices.Sort(names)
			if diff := cmp.Diff(test.want, names); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.waits, s.waits); diff != "" {
				t.Error(diff)
			}
			if quiet != test.quiet {
				t.Errorf("quiet: %v", quiet)
			}
		})
	}
}

// countingRows counts the calls to an empty store.
type countingRows struct{ calls atomic.Int64 }

func (c *countingRows) Commit(context.Context, store.Transaction) (store.Version, error) {
	c.calls.Add(1)
	return 0, nil
}

func (c *countingRows) Range(context.Context, string, string, string, string) (store.Page, error) {
	c.calls.Add(1)
	return store.Page{Version: 1}, nil
}

func (c *countingRows) Follow(ctx context.Context, _ string, after store.Version, _ time.Duration) (store.Changes, error) {
	c.calls.Add(1)
	<-ctx.Done()
	return store.Changes{Version: after}, ctx.Err()
}

// TestBootstrap guards against reads of the store by each instance that starts although a peer has supplied the directory: only
// those that follow the configuration or poll the endpoints for their failure domain need versions of the store's own.
func TestBootstrap(t *testing.T) {
	offer := Offer{
		Configuration:    store.Row{Key: store.Key{Table: "o", Key: "c"}, Value: []byte("abc"), Version: 2},
		Endpoints:        rows(map[string]string{"a": "replica ready 1"}),
		EndpointsVersion: 3,
	}
	tests := map[string]struct {
		offer   Offer
		follows bool
		polls   bool
		reads   bool
	}{
		"peer has both":                         {offer: offer},
		"peer has nothing":                      {reads: true},
		"peer has no endpoints":                 {offer: Offer{Configuration: offer.Configuration}, reads: true},
		"peer has both, instance follows":       {offer: offer, follows: true, reads: true},
		"peer has both, instance polls for all": {offer: offer, polls: true, reads: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			counted := &countingRows{}
			accepted := make(chan struct{})
			var d *Directory
			d = New(ctx, Options{
				Rows: counted, Decoder: wordDecoder{}, Clock: clock.System{}, Logger: event.Discard(),
				Apply: func(*config.Catalog, map[string]string) {}, OnChange: func() {}, Regions: func() map[string]string { return nil },
				ShouldFollow: func() bool { return test.follows }, ShouldPoll: func() bool { return test.polls },
				Bootstrap: func(context.Context) {
					<-accepted
					if counted.calls.Load() > 0 {
						t.Error("the store was read before the peers were asked")
					}
					d.Accept(test.offer)
				},
			})
			close(accepted)
			for end := time.Now().Add(50 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if reads := counted.calls.Load() > 0; reads && !test.reads {
					t.Error("the store was read")
					break
				}
			}
			for end := time.Now().Add(5 * time.Second); test.reads && counted.calls.Load() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the store was not read")
				}
			}
			cancel()
			<-d.Done()
		})
	}
}
