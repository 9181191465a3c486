package revision

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/store"
)

const (
	pollInterval = time.Second
	// standbyInterval is how often instances poll that are not among their domain's pollers.
	standbyInterval = 30 * time.Second
	// pollJitter is the part of an interval by which polls are spread.
	pollJitter  = 0.2
	readTimeout = 3 * time.Second
	// hearsayAfter is how long a new instance hears its peers before it takes their highest revision while the platform
	// does not answer.
	hearsayAfter = 1500 * time.Millisecond
)

// Options are what a follower needs to know and to use.
type Options struct {
	Clock   clock.Service
	Logger  *event.Logger
	Rows    store.Rows
	Objects store.Objects
	Dialer  peer.Dialer
	// Polls reports whether this instance is one that polls the platform for its failure domain.
	Polls func() bool
	// Apply is called with each catalog that comes into force, in order of revision, and whether it is the first.
	Apply func(catalog *config.Catalog, first bool)
}

// current is a revision in force.
type current struct {
	number  uint64
	hash    string
	catalog *config.Catalog
	data    []byte
}

// Follower keeps the configuration in force.
type Follower struct {
	options Options
	current atomic.Pointer[current]
	heard   chan struct{}
	done    chan struct{}

	mu   sync.Mutex
	best Announcement
}

// New starts a follower that ends with ctx.
func New(ctx context.Context, o Options) *Follower {
	f := &Follower{options: o, heard: make(chan struct{}, 1), done: make(chan struct{})}
	go f.run(ctx)
	return f
}

// Done is closed when the follower has ended.
func (f *Follower) Done() <-chan struct{} { return f.done }

// Catalog returns the configuration in force, nil before there is one.
func (f *Follower) Catalog() *config.Catalog {
	c := f.current.Load()
	if c == nil {
		return nil
	}
	return c.catalog
}

// Revision returns the revision in force and its hash, 0 before there is one.
func (f *Follower) Revision() (uint64, string) {
	c := f.current.Load()
	if c == nil {
		return 0, ""
	}
	return c.number, c.hash
}

// Heard takes in that the peer at an address has a revision.
func (f *Follower) Heard(number uint64, address string) {
	if own, _ := f.Revision(); number <= own {
		return
	}
	f.mu.Lock()
	f.best = f.best.Newer(Announcement{Number: number, Address: address})
	f.mu.Unlock()
	select {
	case f.heard <- struct{}{}:
	default:
	}
}

// Serve answers a peer's question for objects; it reports false for frames of other kinds.
func (f *Follower) Serve(first *wire.Frame, stream peer.Stream) bool {
	question := first.GetFetch()
	if question == nil {
		return false
	}
	answer := &wire.Objects{}
	if c := f.current.Load(); c != nil && c.number >= question.GetRevision() {
		answer = &wire.Objects{Revision: c.number, Hash: c.hash, Data: c.data}
	}
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Objects{Objects: answer}})
	return true
}

func (f *Follower) run(ctx context.Context) {
	defer close(f.done)
	started := f.options.Clock.Now()
	due := f.options.Clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.heard:
		case <-due:
			if f.options.Polls() || f.Catalog() == nil {
				f.poll(ctx)
			}
			due = f.options.Clock.After(f.interval())
		}
		f.follow(ctx, started)
	}
}

func (f *Follower) interval() time.Duration {
	interval := pollInterval
	if !f.options.Polls() && f.Catalog() != nil {
		interval = standbyInterval
	}
	spread := 1 + pollJitter*(2*rand.Float64()-1)
	return time.Duration(float64(interval) * spread)
}

// poll reads the head row and brings a newer revision into force.
func (f *Follower) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := config.ReadHead(ctx, f.options.Rows)
	if errors.Is(err, store.ErrAbsent) {
		return
	}
	if err != nil {
		f.options.Logger.Log(event.RevisionFailed, log.Fields{"error": err.Error()})
		return
	}
	if own, _ := f.Revision(); head.Revision <= own {
		return
	}
	data, err := config.ReadObjects(ctx, f.options.Objects, head.Hash)
	if err != nil {
		f.options.Logger.Log(event.RevisionFailed, log.Fields{"error": err.Error(), "revision": head.Revision})
		return
	}
	f.apply(head.Revision, head.Hash, data)
}

// follow fetches the highest revision heard of from the peer that has it. An instance without any revision asks the
// platform first, so that it does not start behind what others already serve.
func (f *Follower) follow(ctx context.Context, started time.Time) {
	f.mu.Lock()
	best := f.best
	f.mu.Unlock()
	own, _ := f.Revision()
	early := own == 0 && f.options.Clock.Now().Sub(started) < hearsayAfter
	if best.Number <= own || early {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	got, err := f.fetch(ctx, best)
	if err != nil {
		f.options.Logger.Log(event.RevisionFailed, log.Fields{"error": err.Error(), "revision": best.Number})
		f.forget(best)
		return
	}
	f.options.Logger.Log(event.RevisionFromPeer, log.Fields{"revision": got.GetRevision(), "peer": best.Address})
	f.apply(got.GetRevision(), got.GetHash(), got.GetData())
}

// forget drops a revision whose objects could not be had, until it is heard of again.
func (f *Follower) forget(best Announcement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.best == best {
		f.best = Announcement{}
	}
}

// fetch returns the objects of a revision, or of a later one, from the peer that told of it.
func (f *Follower) fetch(ctx context.Context, k Announcement) (*wire.Objects, error) {
	question := &wire.Frame{Body: &wire.Frame_Fetch{Fetch: &wire.Fetch{Revision: k.Number}}}
	reply, err := peer.Call(ctx, f.options.Dialer, k.Address, question)
	if err != nil {
		return nil, err
	}
	got := reply.GetObjects()
	if got.GetRevision() < k.Number || config.Hash(got.GetData()) != got.GetHash() {
		return nil, errors.Newf("peer %s does not have revision %d whole", k.Address, k.Number)
	}
	return got, nil
}

// apply brings a revision into force; only the follower's own goroutine calls it, so revisions come in order.
func (f *Follower) apply(number uint64, hash string, data []byte) {
	set, err := config.Decode(data)
	if err != nil {
		f.options.Logger.Log(event.RevisionFailed, log.Fields{"error": err.Error(), "revision": number})
		return
	}
	catalog := config.NewCatalog(set)
	first := f.Catalog() == nil
	f.current.Store(&current{number: number, hash: hash, catalog: catalog, data: data})
	f.options.Apply(catalog, first)
	f.options.Logger.Log(event.RevisionInForce, log.Fields{"revision": number, "hash": hash})
}
