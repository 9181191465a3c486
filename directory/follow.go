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
	// followWait is how long the store may hold a long poll for changes at most. All instances that follow may lose theirs at once,
	// so with followGrace and a repeated call it must stay below the time in which a change has to be in force.
	followWait = 3 * time.Second
	// confirmedWait is the same where Options.Confirms holds.
	confirmedWait = 10 * time.Second
	// followGrace is how long an answer of the store may make no progress once it is due, and failingGrace the same after a call
	// that failed, so that a slow store is still followed.
	followGrace  = 1500 * time.Millisecond
	failingGrace = 3 * time.Second
	// readTimeout bounds how long a read that the store normally answers at once makes no progress; the store may be some tens
	// of times slower.
	readTimeout = 1500 * time.Millisecond
	// changeDelay batches configurations published in quick succession. It must stay short, as a configuration must be in
	// force within seconds.
	changeDelay = 200 * time.Millisecond
	// pollInterval is the least time between two answers with changes of the endpoints, or two reads of all endpoints, to the
	// instance that polls for its failure domain.
	pollInterval = 1200 * time.Millisecond
	// standbyInterval is how often the other instances check whether they should poll or follow.
	standbyInterval = 300 * time.Millisecond
	// settleTime is how long after its first read an instance waits before it follows. After a start the other instances are found
	// meanwhile, so that not all of them follow.
	settleTime = time.Second
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
	position, loaded := feed{}, false
	backoff := retryMin
	for ctx.Err() == nil {
		var err error
		followed, sent := loaded, call{kind: configurationReads, sent: d.options.Clock.Now()}
		switch {
		case d.Versions().Configuration > 0 && !d.options.ShouldFollow():
			d.forgetCalls(configurationReads)
			_ = clock.Wait(ctx, d.options.Clock, withJitter(standbyInterval))
			continue
		case loaded:
			sent.wait = d.holdTime(configurationReads, d.followWait())
			position, err = d.followChanges(ctx, table, key, position, sent.wait)
			loaded = !errors.Is(err, store.ErrCompacted)
		default:
			position, err = d.readConfiguration(ctx, table, key)
			loaded = err == nil
		}
		d.recordCall(sent, err)
		if err != nil {
			d.waitForRetry(ctx, sent, backoff)
			backoff = min(2*backoff, retryMax)
			continue
		}
		if backoff = retryMin; !followed {
			_ = clock.Wait(ctx, d.options.Clock, withJitter(settleTime))
		}
	}
}

// followWait returns how long the store may hold a long poll for changes of the configuration at most.
func (d *Directory) followWait() time.Duration {
	if d.options.Confirms != nil && d.options.Confirms() {
		return confirmedWait
	}
	return followWait
}

// feed is a position in the changes of the configuration's table.
type feed struct {
	// after is the version of the store up to which all changes have been seen.
	after store.Version
	// version is the operator's version of the configuration as of then, 0 if it is not known.
	version uint64
}

// readConfiguration reads and applies the configuration row. It returns the position at which it was read.
func (d *Directory) readConfiguration(ctx context.Context, table, key string) (feed, error) {
	ctx, cancel := store.WithProgress(ctx, readTimeout)
	defer cancel()
	sent := d.options.Clock.Now()
	page, err := d.options.Rows.Range(ctx, table, "", key, "")
	if err != nil {
		return feed{}, err
	}
	position := feed{after: page.Version}
	for _, row := range page.Rows {
		if row.Key.Key == key {
			position.version = d.updateConfiguration(row, sourceStore)
		}
	}
	d.recordPosition(position, sent)
	return position, nil
}

// followChanges waits for at most wait for changes after a position and applies those of the configuration row. It returns the
// position up to which it has seen all changes.
func (d *Directory) followChanges(ctx context.Context, table, key string, from feed, wait time.Duration) (feed, error) {
	callCtx, cancel := store.WithProgress(ctx, wait+d.grace(configurationReads))
	defer cancel()
	sent := d.options.Clock.Now()
	changes, err := d.options.Rows.Follow(callCtx, table, from.after, wait)
	if err != nil {
		return from, err
	}
	position := feed{after: changes.Version, version: from.version}
	for _, c := range changes.Changes {
		switch {
		case c.Row.Key.Part != "" || c.Row.Key.Key != key:
			// Another row of the table, which other writers may have put there.
		case c.Deleted:
			position.version = 0
		default:
			position.version = d.updateConfiguration(c.Row, sourceStore)
		}
	}
	d.recordPosition(position, sent)
	if early := d.options.Clock.Now().Sub(sent) < wait; wait > 0 && (early || len(changes.Changes) > 0) {
		// A store that does not hold the call until there are changes must not be asked without a pause.
		_ = clock.Wait(ctx, d.options.Clock, changeDelay)
	}
	return position, nil
}

// recordPosition records the position that the store has answered to a question sent at a time. If its configuration is known, the
// answer confirms that none was newer when the question was sent.
func (d *Directory) recordPosition(position feed, sent time.Time) {
	d.feedMu.Lock()
	if position.after >= d.feed.after {
		d.feed = position
	}
	d.feedMu.Unlock()
	if position.version > 0 && d.options.OnConfirmed != nil {
		d.options.OnConfirmed(position.version, sent, position.after.Era())
	}
}

// Confirm asks the store, without waiting for changes, whether the configuration is the newest, and applies a newer one. Calls do
// not overlap, so that each one asks only for what the previous one did not see.
func (d *Directory) Confirm(ctx context.Context) error {
	d.confirmMu.Lock()
	defer d.confirmMu.Unlock()
	d.feedMu.Lock()
	from := d.feed
	d.feedMu.Unlock()
	table, key := d.options.Decoder.ConfigurationRow()
	if from.version > 0 {
		_, err := d.followChanges(ctx, table, key, from, 0)
		if !errors.Is(err, store.ErrCompacted) {
			return err
		}
	}
	_, err := d.readConfiguration(ctx, table, key)
	return err
}

// pollEndpoints reads and follows the endpoint table while this instance polls for its failure domain or knows no endpoints yet.
func (d *Directory) pollEndpoints(ctx context.Context) {
	backoff := retryMin
	feed, quiet := endpointFeed{}, false
	for ctx.Err() == nil {
		if d.options.ShouldPoll() || !d.haveEndpoints() {
			var err error
			sent := call{kind: endpointReads, sent: d.options.Clock.Now()}
			feed, quiet, err = d.pollOnce(ctx, feed)
			if err != nil {
				d.waitForRetry(ctx, sent, backoff)
				backoff = min(2*backoff, retryMax)
				continue
			}
			backoff = retryMin
		} else {
			feed, quiet = endpointFeed{}, false
			d.forgetCalls(endpointReads)
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
	ctx, cancel := store.WithProgress(ctx, readTimeout)
	defer cancel()
	table, sent := d.options.Decoder.EndpointTable(), d.options.Clock.Now()
	page, err := store.Scan(ctx, d.options.Rows, table, "", "")
	if err != nil {
		return page, err
	}
	d.recordRead(sent)
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
