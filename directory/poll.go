package directory

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/store"
)

// endpointWait is how long the store may hold a request for changes of the endpoint table at most. While an endpoint is missing it is
// pollInterval, so that the endpoint is removed in time.
const endpointWait = 3 * time.Second

// pollOnce brings the endpoints up to date, by the changes of the table if feed allows that and by reading all of it otherwise. It
// returns the next feed, and true if the store was waited for and nothing changed.
func (d *Directory) pollOnce(ctx context.Context, feed endpointFeed) (endpointFeed, bool, error) {
	started := d.options.Clock.Now()
	if !feed.mayFollow(started) {
		page, err := d.readEndpoints(ctx)
		d.recordCall(call{kind: endpointReads, sent: started}, err)
		if err != nil {
			return feed, false, err
		}
		return feed.readFrom(page, started), false, nil
	}
	wait := d.endpointWait()
	ctx, cancel := store.WithProgress(ctx, wait+d.grace(endpointReads))
	defer cancel()
	changes, err := d.options.Rows.Follow(ctx, d.options.Decoder.EndpointTable(), feed.version, wait)
	d.recordCall(call{kind: endpointReads, sent: started, wait: wait}, err)
	now := d.options.Clock.Now()
	if errors.Is(err, store.ErrCompacted) {
		return feed.compacted(now), false, nil
	}
	if err != nil {
		return feed, false, err
	}
	d.recordRead(started)
	next := feed.with(changes)
	if len(changes.Changes) > 0 {
		d.updateEndpoints(next.all(), next.version, sourceStore)
	}
	return next, len(changes.Changes) == 0 && now.Sub(started) >= pollInterval, nil
}

// endpointWait returns how long the store may hold the next request for changes.
func (d *Directory) endpointWait() time.Duration {
	d.mu.Lock()
	missing := d.snapshot.anyMissing()
	d.mu.Unlock()
	if hold := d.holdTime(endpointReads, endpointWait); !missing || hold == 0 {
		return hold
	}
	return pollInterval
}
