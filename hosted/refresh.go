package hosted

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"siskincove/clock"
	"siskincove/directory"
	"siskincove/event"
	"siskincove/member"
	"siskincove/meter"
	"siskincove/peer/wire"
	"siskincove/store"
)

const (
	// refreshPeers is how many instances are asked to read the endpoints at a time.
	refreshPeers = 3
	// peerReadDelay is how long the store may take to answer this instance before others are asked, and peerReadTime how long their
	// reads, and the transfer of what they have read, may take then.
	peerReadDelay = 150 * time.Millisecond
	peerReadTime  = 400 * time.Millisecond
	// askInterval is the pause between two requests to the same instance, and freshTime the age up to which a read is fresh.
	askInterval = 30 * time.Millisecond
	freshTime   = 60 * time.Millisecond
	// fetchPoll is how often it is checked whether the endpoints have arrived.
	fetchPoll = 10 * time.Millisecond
	// requestedReadTimeout bounds a read that another instance has asked for.
	requestedReadTimeout = 150 * time.Millisecond
)

// refresher reads the endpoints when other instances, which the store does not answer, ask for it.
type refresher struct {
	instance *Instance
	// wanted holds a value after a request until a read begins.
	wanted chan struct{}
	done   chan struct{}
}

func newRefresher(i *Instance) *refresher {
	return &refresher{instance: i, wanted: make(chan struct{}, 1), done: make(chan struct{})}
}

// run reads the endpoints on request until ctx ends. Requests that arrive during a read share the next one.
func (r *refresher) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wanted:
			r.instance.directory.Refresh(ctx, requestedReadTimeout)
		}
	}
}

// request begins a read unless a recent one is fresh.
func (r *refresher) request() {
	if r.fresh() {
		return
	}
	select {
	case r.wanted <- struct{}{}:
	default:
	}
}

// fresh reports whether the store has answered a read that was sent within freshTime.
func (r *refresher) fresh() bool {
	return r.instance.options.Clock.Now().Sub(r.instance.directory.ReadAt()) <= freshTime
}

// refreshEndpoints reads the endpoints from the store. If that does not answer this instance in time, it asks others to read them and
// takes what they have read. It returns how current the endpoints are.
func (i *Instance) refreshEndpoints(ctx context.Context, timeout time.Duration) directory.Reading {
	ctx, cancel := context.WithTimeout(ctx, max(timeout, peerReadDelay+peerReadTime))
	defer cancel()
	own := make(chan directory.Reading, 1)
	go func() { own <- i.directory.Refresh(ctx, timeout) }()
	var reading directory.Reading
	select {
	case reading = <-own:
		if reading.Err == nil {
			return reading
		}
		own <- reading
	case <-i.options.Clock.After(peerReadDelay):
	}
	asked := i.options.Clock.Now()
	helper := i.readThroughPeers(ctx)
	if helper != "" {
		cancel()
	}
	reading = <-own
	if helper == "" || reading.Err == nil {
		return reading
	}
	i.options.Logger.Log(event.ReadThroughPeer, log.Fields{
		"instance": helper, "took": i.options.Clock.Now().Sub(asked).String(), "error": reading.Err.Error(),
	})
	reading.Err, reading.ReadAt = nil, asked
	return reading
}

// readThroughPeers asks other instances to read the endpoints and waits until this instance knows what one of them has read. It returns
// the ID of that one, empty if none did before ctx ended.
func (i *Instance) readThroughPeers(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, peerReadTime)
	defer cancel()
	helpers := i.refreshHelpers()
	read := make(chan string, len(helpers))
	for _, helper := range helpers {
		go func() { read <- i.readThroughPeer(ctx, helper.ID) }()
	}
	found := ""
	for range helpers {
		if id := <-read; id != "" && found == "" {
			found = id
			cancel()
		}
	}
	return found
}

// readThroughPeer asks one instance until it has read the endpoints after the first request, and waits for them. It returns the ID, empty if
// ctx ended before.
func (i *Instance) readThroughPeer(ctx context.Context, id string) string {
	first := i.options.Clock.Now()
	for ctx.Err() == nil {
		sent := i.options.Clock.Now()
		reply := i.members.Ask(ctx, id, func(h *wire.Heartbeat) { h.Wanted = refreshBit })
		if reply.GetTaken()&refreshBit != 0 && sent.Sub(first) >= freshTime {
			return i.awaitEndpoints(ctx, id, store.Version(reply.GetEndpoints()))
		}
		_ = clock.Wait(ctx, i.options.Clock, askInterval)
	}
	return ""
}

// awaitEndpoints waits until this instance knows the endpoints of a version, which a peer has announced, and returns the peer's ID; empty if
// ctx ended before.
func (i *Instance) awaitEndpoints(ctx context.Context, id string, version store.Version) string {
	for i.directory.Versions().Endpoints < version {
		if clock.Wait(ctx, i.options.Clock, fetchPoll) != nil {
			return ""
		}
	}
	return id
}

// refreshHelpers returns some of the other instances, the nearest first, since their endpoints are fetched soonest.
func (i *Instance) refreshHelpers() []member.Instance {
	all := slices.DeleteFunc(i.members.PlacedPeers(), func(m member.Instance) bool { return m.State == member.Suspect })
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	order := []meter.Distance{meter.SameDomain, meter.SameRegion, meter.OtherRegion, meter.UnknownDistance}
	distance := func(m member.Instance) int {
		return slices.Index(order, meter.DistanceBetween(i.options.Settings.Instance.Domain, m.Domain))
	}
	slices.SortStableFunc(all, func(a, b member.Instance) int { return distance(a) - distance(b) })
	return all[:min(len(all), refreshPeers)]
}
