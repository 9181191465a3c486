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
	"siskincove/transfer"
)

const (
	pollInterval = time.Second
	// standbyInterval is how often an instance that has a revision and is not among the pollers of its failure domain checks
	// whether it has become one.
	standbyInterval = 30 * time.Second
	// pollJitter is the fraction by which an interval is randomly shortened or lengthened.
	pollJitter  = 0.2
	readTimeout = 3 * time.Second
	// wholeTimeout bounds a request for objects that are sent whole.
	wholeTimeout = 10 * time.Second
	// peerFallbackDelay is how long an instance without a revision waits for the store before it takes the highest
	// revision that its peers have announced.
	peerFallbackDelay = 1500 * time.Millisecond
	// busyLimit bounds how long a peer that serves others is waited for.
	busyLimit = 3 * time.Second
)

// Options are the settings and dependencies of a tracker.
type Options struct {
	Clock   clock.Service
	Logger  *event.Logger
	Rows    store.Rows
	Objects store.Objects
	Dialer  peer.Dialer
	// Self is the ID of this instance.
	Self string
	// ShouldPoll reports whether this instance is among those that poll the store for their failure domain.
	ShouldPoll func() bool
	// Apply is called with each catalog that becomes active, in order of revision; first is set for the first one.
	Apply func(catalog *config.Catalog, first bool)
}

// activeRevision is the revision that this instance uses.
type activeRevision struct {
	number  uint64
	hash    string
	catalog *config.Catalog
	data    []byte
	// document holds the pieces of data if that is large.
	document transfer.Document
}

// Tracker keeps the active configuration at the highest known revision.
type Tracker struct {
	options Options
	active  atomic.Pointer[activeRevision]
	// wake is signalled when a peer announces a higher revision.
	wake chan struct{}
	done chan struct{}
	// arrived holds the pieces of a revision whose transfer has not ended. Only the tracker's goroutine uses it.
	arrived transfer.Assembly
	// pieces answers peers that pull the active revision.
	pieces peer.PieceServer

	mu      sync.Mutex
	highest Announcement
}

// New starts a tracker that stops when ctx ends.
func New(ctx context.Context, o Options) *Tracker {
	t := &Tracker{options: o, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go t.run(ctx)
	return t
}

// Done returns a channel that is closed when the tracker has stopped.
func (t *Tracker) Done() <-chan struct{} { return t.done }

// Catalog returns the active configuration, or nil before the first.
func (t *Tracker) Catalog() *config.Catalog {
	active := t.active.Load()
	if active == nil {
		return nil
	}
	return active.catalog
}

// Revision returns the number and hash of the active revision, or 0 and "" before the first.
func (t *Tracker) Revision() (uint64, string) {
	active := t.active.Load()
	if active == nil {
		return 0, ""
	}
	return active.number, active.hash
}

// RecordPeerRevision records that the peer at an address has a revision and, if it is higher than the active one, wakes the
// tracker.
func (t *Tracker) RecordPeerRevision(number uint64, address string) {
	if active, _ := t.Revision(); number <= active {
		return
	}
	t.mu.Lock()
	t.highest = t.highest.Newer(Announcement{Number: number, Address: address})
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Serve answers a peer's fetch request, with empty objects if the active revision is lower than the requested one. It
// returns false for frames of other kinds.
func (t *Tracker) Serve(frame *wire.Frame, stream peer.Stream) bool {
	if pull := frame.GetPull(); pull != nil {
		t.servePull(pull, stream)
		return true
	}
	request := frame.GetFetch()
	if request == nil {
		return false
	}
	objects := &wire.Objects{}
	if active := t.active.Load(); active != nil && active.number >= request.GetRevision() {
		objects = &wire.Objects{Revision: active.number, Hash: active.hash, Data: active.data}
		if request.GetPieces() && !active.document.Empty() {
			objects.Data, objects.Manifest = nil, peer.ToManifest(active.document.Manifest())
		}
	}
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Objects{Objects: objects}})
	return true
}

// servePull answers a peer's request for pieces of the active revision.
func (t *Tracker) servePull(pull *wire.Pull, stream peer.Stream) {
	var document transfer.Document
	if active := t.active.Load(); active != nil {
		document = active.document
	}
	answer, err := t.pieces.Answer(pull, t.options.Clock.Now(), document)
	if err != nil {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error()})
		return
	}
	_ = stream.Send(&wire.Frame{Body: &wire.Frame_Pieces{Pieces: answer}})
}

func (t *Tracker) run(ctx context.Context) {
	defer close(t.done)
	started := t.options.Clock.Now()
	due := t.options.Clock.After(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-due:
			if t.options.ShouldPoll() || t.Catalog() == nil {
				t.poll(ctx)
			}
			due = t.options.Clock.After(t.pollDelay())
		}
		t.fetchHighest(ctx, started)
	}
}

func (t *Tracker) pollDelay() time.Duration {
	interval := pollInterval
	if !t.options.ShouldPoll() && t.Catalog() != nil {
		interval = standbyInterval
	}
	jitter := 1 + pollJitter*(2*rand.Float64()-1)
	return time.Duration(float64(interval) * jitter)
}

// poll reads the head row and activates its revision if that is newer.
func (t *Tracker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := config.ReadHead(ctx, t.options.Rows)
	if errors.Is(err, store.ErrAbsent) {
		return
	}
	if err != nil {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error()})
		return
	}
	if active, _ := t.Revision(); head.Revision <= active {
		return
	}
	data, err := config.ReadObjects(ctx, t.options.Objects, head.Hash)
	if err != nil {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error(), "revision": head.Revision})
		return
	}
	t.apply(head.Revision, head.Hash, data)
}

// fetchHighest fetches the highest announced revision from the peer that announced it, and activates it. An instance
// without a revision gives the store peerFallbackDelay to answer first, so that it does not start with an older
// revision than others already use.
func (t *Tracker) fetchHighest(ctx context.Context, started time.Time) {
	t.mu.Lock()
	highest := t.highest
	t.mu.Unlock()
	active, _ := t.Revision()
	tooEarly := active == 0 && t.options.Clock.Now().Sub(started) < peerFallbackDelay
	if highest.Number <= active || tooEarly {
		return
	}
	objects, err := t.fetch(ctx, highest)
	if err != nil {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error(), "revision": highest.Number})
		t.forget(highest)
		return
	}
	t.options.Logger.Log(event.RevisionFromPeer, log.Fields{"revision": objects.GetRevision(), "peer": highest.Address})
	t.apply(objects.GetRevision(), objects.GetHash(), objects.GetData())
}

// forget drops an announcement whose objects could not be fetched; a later announcement sets it again.
func (t *Tracker) forget(failed Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.highest == failed {
		t.highest = Announcement{}
	}
}

// fetch returns the objects of the announced revision or a later one from the peer that announced it. It checks their hash.
func (t *Tracker) fetch(ctx context.Context, announced Announcement) (*wire.Objects, error) {
	objects, err := t.request(ctx, announced, true)
	if err != nil {
		return nil, err
	}
	if objects.GetManifest() != nil {
		objects.Data, err = t.pull(ctx, announced.Address, peer.FromManifest(objects.GetManifest()))
	}
	if errors.Is(err, transfer.ErrOtherValue) {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error(), "revision": announced.Number})
		objects, err = t.request(ctx, announced, false)
	}
	if err != nil {
		return nil, err
	}
	if objects.GetRevision() < announced.Number || config.Hash(objects.GetData()) != objects.GetHash() {
		return nil, errors.Newf("peer %s did not return intact objects of revision %d or later", announced.Address, announced.Number)
	}
	return objects, nil
}

// request asks the peer that announced a revision for its objects, whose data may be listed in pieces.
func (t *Tracker) request(ctx context.Context, announced Announcement, pieces bool) (*wire.Objects, error) {
	timeout := readTimeout
	if !pieces {
		timeout = wholeTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := &wire.Frame{Body: &wire.Frame_Fetch{Fetch: &wire.Fetch{Revision: announced.Number, Pieces: pieces}}}
	reply, err := peer.Call(ctx, t.options.Dialer, announced.Address, request)
	return reply.GetObjects(), err
}

// pull returns the data of a manifest from a peer. While the peer serves others it asks again, for busyLimit at most.
func (t *Tracker) pull(ctx context.Context, address string, m transfer.Manifest) ([]byte, error) {
	puller := peer.Puller{Dialer: t.options.Dialer, Address: address, Receiver: t.options.Self, Arrived: &t.arrived}
	if active := t.active.Load(); active != nil {
		puller.Own = active.document
	}
	started := t.options.Clock.Now()
	for {
		data, _, err := puller.Pull(ctx, m)
		var busy peer.BusyError
		if !errors.As(err, &busy) || t.options.Clock.Now().Sub(started) > busyLimit {
			return data, err
		}
		if err := clock.Wait(ctx, t.options.Clock, busy.After); err != nil {
			return nil, err
		}
	}
}

// apply activates a revision. Only the tracker's goroutine calls it, so that revisions are applied in order.
func (t *Tracker) apply(number uint64, hash string, data []byte) {
	set, err := config.Decode(data)
	if err != nil {
		t.options.Logger.Log(event.RevisionReadFailed, log.Fields{"error": err.Error(), "revision": number})
		return
	}
	catalog := config.NewCatalog(set)
	first := t.Catalog() == nil
	t.active.Store(&activeRevision{number: number, hash: hash, catalog: catalog, data: data, document: transfer.NewLargeDocument(data)})
	t.options.Apply(catalog, first)
	t.options.Logger.Log(event.RevisionApplied, log.Fields{"revision": number, "hash": hash})
}
