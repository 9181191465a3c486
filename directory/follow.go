package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/store"
)

const (
	// followWait is how long the store may hold a long poll for changes. If the poll's connection dies meanwhile, changes
	// arrive from peers.
	followWait = 10 * time.Second
	// followGrace is added to followWait for the answer to arrive.
	followGrace = 2 * time.Second
	// readTimeout bounds a read that the store normally answers at once; the store may be some tens of times slower.
	readTimeout = 1500 * time.Millisecond
	// changeDelay batches configurations published in quick succession. It must stay short, as a configuration must be in
	// force within seconds.
	changeDelay = 200 * time.Millisecond
	// pollInterval is the least time between two answers with changes of the endpoints, or two reads of all endpoints, to the
	// instance that polls for its failure domain.
	pollInterval = 1200 * time.Millisecond
	// refreshTimeout bounds the read of Refresh, for which urgent operations wait.
	refreshTimeout = 150 * time.Millisecond
	// standbyInterval is how often the other instances check whether they should poll or follow.
	standbyInterval = time.Second
	// retryMin and retryMax bound the backoff while the store does not answer.
	retryMin = 200 * time.Millisecond
	retryMax = 2 * time.Second
	// jitter is the largest share by which withJitter lengthens or shortens a duration.
	jitter = 0.2
)

// Kinds of store reads, as they appear in logs when the store stops or resumes answering them.
const (
	configurationReads = "configuration"
	endpointReads      = "endpoints"
)

// followConfiguration reads the configuration row, unless a peer has supplied it, and then follows its changes while
// ShouldFollow reports true. Other instances learn of changes from peers.
func (d *Directory) followConfiguration(ctx context.Context) {
	table, key := d.options.Decoder.ConfigurationRow()
	after, loaded := store.Version(0), false
	backoff := retryMin
	for ctx.Err() == nil {
		var err error
		followed := loaded
		switch {
		case d.Versions().Configuration > 0 && !d.options.ShouldFollow():
			_ = clock.Wait(ctx, d.options.Clock, withJitter(standbyInterval))
			continue
		case loaded:
			after, err = d.followChanges(ctx, table, key, after)
			loaded = !errors.Is(err, store.ErrCompacted)
		default:
			after, err = d.readConfiguration(ctx, table, key)
			loaded = err == nil
		}
		d.logAvailability(configurationReads, err)
		if err != nil {
			_ = clock.Wait(ctx, d.options.Clock, withJitter(backoff))
			backoff = min(2*backoff, retryMax)
			continue
		}
		if backoff = retryMin; !followed {
			// After a start the other instances are found meanwhile, so that not all of them follow.
			_ = clock.Wait(ctx, d.options.Clock, withJitter(standbyInterval))
		}
	}
}

// readConfiguration reads and applies the configuration row. It returns the version of the store at which it was read.
func (d *Directory) readConfiguration(ctx context.Context, table, key string) (store.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := d.options.Rows.Range(ctx, table, "", key, "")
	if err != nil {
		return 0, err
	}
	for _, row := range page.Rows {
		if row.Key.Key == key {
			d.updateConfiguration(row, sourceStore)
		}
	}
	return page.Version, nil
}

// followChanges waits for changes after a version of the store and applies those of the configuration row. It returns the
// version up to which it has seen all changes.
func (d *Directory) followChanges(ctx context.Context, table, key string, after store.Version) (store.Version, error) {
	callCtx, cancel := context.WithTimeout(ctx, followWait+followGrace)
	defer cancel()
	changes, err := d.options.Rows.Follow(callCtx, table, after, followWait)
	if err != nil {
		return after, err
	}
	for _, c := range changes.Changes {
		if c.Row.Key.Key == key && !c.Deleted {
			d.updateConfiguration(c.Row, sourceStore)
		}
	}
	if len(changes.Changes) > 0 {
		_ = clock.Wait(ctx, d.options.Clock, changeDelay)
	}
	return changes.Version, nil
}

// pollEndpoints reads and follows the endpoint table while this instance polls for its failure domain or knows no endpoints yet.
func (d *Directory) pollEndpoints(ctx context.Context) {
	backoff := retryMin
	feed, quiet := endpointFeed{}, false
	for ctx.Err() == nil {
		if d.options.ShouldPoll() || !d.haveEndpoints() {
			var err error
			feed, quiet, err = d.pollOnce(ctx, feed)
			d.logAvailability(endpointReads, err)
			if err != nil {
				_ = clock.Wait(ctx, d.options.Clock, withJitter(backoff))
				backoff = min(2*backoff, retryMax)
				continue
			}
			backoff = retryMin
		} else {
			feed, quiet = endpointFeed{}, false
		}
		d.expireMissing()
		if !quiet && !d.waitForPoll(ctx) {
			return
		}
	}
}

// waitForPoll waits until the next poll is due. It returns false if ctx has ended.
func (d *Directory) waitForPoll(ctx context.Context) bool {
	interval := standbyInterval
	if d.options.ShouldPoll() {
		interval = pollInterval
	}
	select {
	case <-ctx.Done():
		return false
	case <-d.options.Clock.After(withJitter(interval)):
		return true
	}
}

func (d *Directory) haveEndpoints() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointsLoaded
}

// readEndpoints reads and applies the whole endpoint table.
func (d *Directory) readEndpoints(ctx context.Context) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	table := d.options.Decoder.EndpointTable()
	page, err := store.Scan(ctx, d.options.Rows, table, "", "")
	if err != nil {
		return page, err
	}
	d.updateEndpoints(page.Rows, page.Version, sourceStore)
	return page, nil
}

func withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}

// logAvailability logs when the store stops or resumes answering a kind of read; err is the error of the latest one.
func (d *Directory) logAvailability(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.unavailableSince[kind]
	now := d.options.Clock.Now()
	switch {
	case err != nil && errors.Is(err, context.Canceled), err != nil && errors.Is(err, store.ErrCompacted):
	case err != nil && !lost:
		d.unavailableSince[kind] = now
		d.options.Logger.Log(event.DependencyLost, log.Fields{"name": "store/" + kind, "error": err.Error()})
	case err == nil && lost:
		delete(d.unavailableSince, kind)
		d.options.Logger.Log(event.DependencyRecovered, log.Fields{"name": "store/" + kind, "after": now.Sub(since).String()})
	}
}
