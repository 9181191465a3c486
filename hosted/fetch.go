package hosted

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/directory"
	"siskincove/event"
	"siskincove/meter"
	"siskincove/peer"
	"siskincove/transfer"
)

const (
	// regionFetchDelay and farFetchDelay are the least time that a newer directory is awaited from nearer peers before one in
	// another failure domain or in another region is asked for it. The wait is up to twice as long, so that the first
	// instance of a region to ask can pass the answer on before the others do.
	regionFetchDelay = 50 * time.Millisecond
	farFetchDelay    = 200 * time.Millisecond
	// nextFetchPause is the time after a fetch before a peer that has more to offer is asked again.
	nextFetchPause = 50 * time.Millisecond
)

// fetchDelay returns how long to wait for nearer peers before a peer at a distance is asked for its directory. spread is from 0 to
// 1.
func fetchDelay(d meter.Distance, spread float64) time.Duration {
	delay := time.Duration(0)
	switch d {
	case meter.SameRegion:
		delay = regionFetchDelay
	case meter.OtherRegion:
		delay = farFetchDelay
	}
	return time.Duration(float64(delay) * (1 + spread))
}

// fetcher takes newer directories from peers, from one at a time, apart from the heartbeats that announce them.
type fetcher struct {
	instance *Instance
	// woken holds a value after announce until the sources are looked at.
	woken chan struct{}
	done  chan struct{}
	// configuration and table hold the pieces of a configuration and of all endpoints whose transfers have not ended. Only the
	// fetcher's goroutine uses them.
	configuration, table transfer.Assembly

	mu      sync.Mutex
	sources directory.Sources
	// announced holds the newest versions that peers have announced, and announcedAt when the first peer did.
	announced   directory.Versions
	announcedAt time.Time
}

func newFetcher(i *Instance) *fetcher {
	return &fetcher{instance: i, woken: make(chan struct{}, 1), done: make(chan struct{})}
}

// announce records that the peer at an address, in a failure domain, has a directory, which is fetched if it is newer than this
// instance's.
func (f *fetcher) announce(v directory.Versions, address, domain string) {
	own := f.instance.directory.Known()
	if !v.NewerThan(own) {
		return
	}
	distance := meter.DistanceBetween(f.instance.options.Settings.Instance.Domain, domain)
	notBefore := f.instance.options.Clock.Now().Add(fetchDelay(distance, rand.Float64()))
	f.recordAnnouncement(v)
	f.change(func(s directory.Sources) directory.Sources {
		return s.Newer(own).With(directory.Source{Address: address, Distance: distance, Versions: v, NotBefore: notBefore})
	})
	select {
	case f.woken <- struct{}{}:
	default:
	}
}

// recordAnnouncement records when the newest versions were first announced.
func (f *fetcher) recordAnnouncement(v directory.Versions) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.NewerThan(f.announced) {
		f.announced, f.announcedAt = v, f.instance.options.Clock.Now()
	}
}

// sinceAnnounced returns the time since the newest versions were first announced.
func (f *fetcher) sinceAnnounced() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instance.options.Clock.Now().Sub(f.announcedAt)
}

func (f *fetcher) change(next func(s directory.Sources) directory.Sources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources = next(f.sources)
}

func (f *fetcher) next() (directory.Source, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Next(f.instance.directory.Known(), f.instance.options.Clock.Now())
}

// run fetches from the sources until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	defer close(f.done)
	<-f.instance.initialized
	for ctx.Err() == nil {
		source, wait, pending := f.next()
		switch {
		case source.Address != "":
			f.fetch(ctx, source)
		case pending:
			select {
			case <-ctx.Done():
			case <-f.woken:
			case <-f.instance.options.Clock.After(wait):
			}
		default:
			select {
			case <-ctx.Done():
			case <-f.woken:
			}
		}
	}
}

// fetch takes what is newer from a source and records when to ask the source again.
func (f *fetcher) fetch(ctx context.Context, source directory.Source) {
	defer f.instance.options.Logger.Contain("fetch")
	clk := f.instance.options.Clock
	started, before := clk.Now(), f.instance.directory.Versions()
	// If the fetch fails by a programming error, it is not repeated at once.
	f.pause(source, inquiryTimeout)
	received, err := f.take(ctx, source)
	var busy peer.BusyError
	progress := f.instance.directory.Versions() != before
	switch {
	case errors.As(err, &busy):
		f.pause(source, time.Duration(float64(busy.After)*(1+rand.Float64()/2)))
		return
	case err == nil && progress, errors.Is(err, peer.ErrMoved), errors.Is(err, peer.ErrObsolete):
		f.pause(source, nextFetchPause)
	default:
		// The next heartbeat of any peer that has it leads to another attempt.
		f.change(func(s directory.Sources) directory.Sources { return s.Without(source.Address) })
	}
	fields := log.Fields{
		"address": source.Address, "configuration": source.Versions.Configuration, "endpoints": source.Versions.Endpoints,
		"bytes": received, "took": clk.Now().Sub(started).String(), "announced": f.sinceAnnounced().String(),
	}
	if err != nil {
		fields["error"] = err.Error()
		f.instance.options.Logger.Log(event.DirectoryFailed, fields)
		return
	}
	f.instance.options.Logger.Log(event.DirectoryReceived, fields)
}

func (f *fetcher) pause(source directory.Source, d time.Duration) {
	until := f.instance.options.Clock.Now().Add(d)
	f.change(func(s directory.Sources) directory.Sources { return s.WithPause(source.Address, until) })
}

// take asks a source for what is newer, pulls what is large in pieces, and applies it. It returns how many bytes it received.
func (f *fetcher) take(ctx context.Context, source directory.Source) (int, error) {
	received := 0
	for _, acceptsChanges := range []bool{true, false} {
		offer, err := f.instance.inquire(ctx, source.Address, f.instance.directory.Known(), acceptsChanges)
		if err != nil {
			return received, err
		}
		received += offer.Bytes()
		accepted := f.instance.directory.Accept(offer)
		n, err := f.pull(ctx, source, offer)
		received += n
		if errors.Is(err, transfer.ErrOtherValue) {
			n, err = f.takeWhole(ctx, source, err)
			return received + n, err
		}
		if err != nil || accepted {
			return received, err
		}
	}
	return received, nil
}

// pull pulls and applies what an offer only lists the pieces of.
func (f *fetcher) pull(ctx context.Context, source directory.Source, offer directory.Offer) (int, error) {
	received, err := f.pullConfiguration(ctx, source, offer)
	if err != nil {
		return received, err
	}
	n, err := f.pullTable(ctx, source, offer)
	return received + n, err
}

// takeWhole takes what is newer at a source without pieces, after those have given another value.
func (f *fetcher) takeWhole(ctx context.Context, source directory.Source, cause error) (int, error) {
	f.instance.options.Logger.Log(event.DirectoryFailed, log.Fields{"address": source.Address, "error": cause.Error()})
	offer, err := f.instance.inquireWhole(ctx, source.Address, f.instance.directory.Known())
	if err != nil {
		return 0, err
	}
	f.instance.directory.Accept(offer)
	return offer.Bytes(), nil
}

// pullConfiguration pulls and applies an offered configuration of which only the pieces were listed.
func (f *fetcher) pullConfiguration(ctx context.Context, source directory.Source, offer directory.Offer) (int, error) {
	if len(offer.Manifest.Hashes) == 0 {
		return 0, nil
	}
	held := f.instance.directory
	obsolete := func() bool {
		return held.Known().Configuration >= offer.Offered || f.superseded(source, offer.Offered)
	}
	value, received, err := f.puller(source, held.Document(), &f.configuration, obsolete).Pull(ctx, offer.Manifest)
	if err == nil {
		row := offer.Configuration
		row.Value = value
		held.Accept(directory.Offer{Configuration: row})
	}
	return received, err
}

// pullTable pulls and applies the endpoints of which only the pieces were listed.
func (f *fetcher) pullTable(ctx context.Context, source directory.Source, offer directory.Offer) (int, error) {
	if len(offer.Table.Hashes) == 0 {
		return 0, nil
	}
	held := f.instance.directory
	own := f.instance.tables.document(held.Offer(directory.Versions{}, false))
	obsolete := func() bool { return held.Versions().Endpoints >= offer.EndpointsVersion }
	value, received, err := f.puller(source, own, &f.table, obsolete).Pull(ctx, offer.Table)
	if err != nil {
		return received, err
	}
	if offer.Endpoints, err = decodeTable(value); err == nil {
		offer.Table = transfer.Manifest{}
		held.Accept(offer)
	}
	return received, err
}

func (f *fetcher) puller(source directory.Source, own transfer.Document, arrived *transfer.Assembly, obsolete func() bool) peer.Puller {
	return peer.Puller{
		Dialer: f.instance.node, Address: source.Address, Receiver: f.instance.options.Settings.Instance.ID, Own: own, Arrived: arrived,
		Obsolete: obsolete,
	}
}

// superseded reports whether a newer version of the configuration can be had from another source that is not farther.
func (f *fetcher) superseded(source directory.Source, version uint64) bool {
	next, _, _ := f.next()
	return next.Address != "" && next.Address != source.Address && next.Versions.Configuration > version
}
