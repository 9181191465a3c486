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
	// feedWait is how long the store may hold a question for changes; peers tell of changes missed by a dead connection.
	feedWait = 10 * time.Second
	// feedGrace is how much later than that an answer may come.
	feedGrace = 2 * time.Second
	// readTimeout bounds a call that the store answers at once; it may be slow by a factor of some tens.
	readTimeout = 1500 * time.Millisecond
	// changePause joins configurations that come in quick succession; they must be in force within seconds.
	changePause = 200 * time.Millisecond
	// pollInterval is how often an instance that reads for its failure domain reads the endpoints.
	pollInterval = 1200 * time.Millisecond
	// refreshTimeout bounds a reading that something urgent waits for.
	refreshTimeout = 150 * time.Millisecond
	// standbyInterval is how often the others look whether something is to be done.
	standbyInterval = time.Second
	// retryFirst and retryMaximum pace calls while the store does not answer.
	retryFirst   = 200 * time.Millisecond
	retryMaximum = 2 * time.Second
	jitter       = 0.2
)

// Names of what the store is asked for, in logs of its loss.
const (
	configurationFeed = "configuration"
	endpointReads     = "endpoints"
)

// follow reads the operator's row and then its changes.
func (d *Directory) follow(ctx context.Context) {
	table, key := d.options.Decoder.ConfigurationRow()
	after, read := uint64(0), false
	pause := retryFirst
	for ctx.Err() == nil {
		var err error
		if read {
			after, err = d.followOnce(ctx, table, key, after)
			read = !errors.Is(err, store.ErrCompacted)
		} else {
			after, err = d.readConfiguration(ctx, table, key)
			read = err == nil
		}
		d.report(configurationFeed, err)
		if err != nil {
			_ = clock.Wait(ctx, d.options.Clock, spread(pause))
			pause = min(2*pause, retryMaximum)
			continue
		}
		pause = retryFirst
	}
}

func (d *Directory) readConfiguration(ctx context.Context, table, key string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := d.options.Rows.Range(ctx, table, "", key, "")
	if err != nil {
		return 0, err
	}
	for _, row := range page.Rows {
		if row.Key.Key == key {
			d.takeConfiguration(row, fromStore)
		}
	}
	return page.Version, nil
}

func (d *Directory) followOnce(ctx context.Context, table, key string, after uint64) (uint64, error) {
	call, cancel := context.WithTimeout(ctx, feedWait+feedGrace)
	defer cancel()
	changes, err := d.options.Rows.Follow(call, table, after, feedWait)
	if err != nil {
		return after, err
	}
	for _, c := range changes.Changes {
		if c.Row.Key.Key == key && !c.Deleted {
			d.takeConfiguration(c.Row, fromStore)
		}
	}
	if len(changes.Changes) > 0 {
		_ = clock.Wait(ctx, d.options.Clock, changePause)
	}
	return changes.Version, nil
}

// poll reads the endpoints' table if this instance does so for its failure domain, or knows none.
func (d *Directory) poll(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		if d.options.Polls() || !d.known() {
			err := d.readEndpoints(ctx)
			d.report(endpointReads, err)
			if err != nil {
				_ = clock.Wait(ctx, d.options.Clock, spread(pause))
				pause = min(2*pause, retryMaximum)
				continue
			}
			pause = retryFirst
		}
		d.sweep()
		if !d.rest(ctx) {
			return
		}
	}
}

// rest waits until the endpoints should be read again.
func (d *Directory) rest(ctx context.Context) bool {
	interval := standbyInterval
	if d.options.Polls() {
		interval = pollInterval
	}
	select {
	case <-ctx.Done():
		return false
	case <-d.options.Clock.After(spread(interval)):
		return true
	}
}

func (d *Directory) known() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

func (d *Directory) readEndpoints(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	table := d.options.Decoder.EndpointTable()
	page, err := store.Scan(ctx, d.options.Rows, table, "", "")
	if err != nil {
		return err
	}
	d.takeEndpoints(page.Rows, page.Version, fromStore)
	return nil
}

func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitter*(2*rand.Float64()-1)))
}

// report logs when the store stops or starts again to answer a kind of question.
func (d *Directory) report(what string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, lost := d.lost[what]
	now := d.options.Clock.Now()
	switch {
	case err != nil && errors.Is(err, context.Canceled), err != nil && errors.Is(err, store.ErrCompacted):
	case err != nil && !lost:
		d.lost[what] = now
		d.options.Logger.Log(event.DependencyLost, log.Fields{"name": "store/" + what, "error": err.Error()})
	case err == nil && lost:
		delete(d.lost, what)
		d.options.Logger.Log(event.DependencyBack, log.Fields{"name": "store/" + what, "after": now.Sub(since).String()})
	}
}
