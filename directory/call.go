package directory

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/clock"
	"siskincove/event"
	"siskincove/store"
)

// Kinds of reads.
const (
	// ConfigurationReads are reads of the operator's configuration and its changes.
	ConfigurationReads = configurationReads
	// EndpointReads are reads of the registered endpoints and their changes.
	EndpointReads = endpointReads
)

// call is a call to the store.
type call struct {
	// kind is the kind of read.
	kind string
	sent time.Time
	// wait is how long the store may hold the call, 0 if it is to be answered at once.
	wait time.Duration
}

// recordCall records whether the store has answered a call, and logs a call that failed; err is its error.
func (d *Directory) recordCall(c call, err error) {
	d.logAvailability(c.kind, err)
	if err != nil && errors.Is(err, context.Canceled) {
		return
	}
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.contacts[c.kind]
	if err == nil || errors.Is(err, store.ErrCompacted) {
		d.contacts[c.kind] = before.withAnswer(now)
		return
	}
	d.contacts[c.kind] = before.withFailure(c.sent.Add(c.wait), now)
	silence := before.silence(now)
	metrics.GetOrCreateHistogram(fmt.Sprintf(`siskincove_store_silence_seconds{kind=%q}`, c.kind)).Update(silence.Seconds())
	d.options.Logger.Log(event.StoreCallFailed, log.Fields{
		"name": "store/" + c.kind, "took": now.Sub(c.sent).String(), "held": c.wait.String(), "silence": silence.String(), "error": err.Error(),
	})
}

// StoreLost reports whether the store has not answered reads of a kind for some time although this instance has tried.
func (d *Directory) StoreLost(kind string) bool { return d.contact(kind).lost }

// forgetCalls forgets whether the store has answered reads of a kind, which another instance makes from now on.
func (d *Directory) forgetCalls(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.contacts, kind)
}

func (d *Directory) contact(kind string) contact {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.contacts[kind]
}

// holdTime returns how long the store may hold the next call of a kind: somewhat less than longest, so that instances don't call in
// step, and not at all after a call that failed, so that another lost answer is noticed sooner.
func (d *Directory) holdTime(kind string, longest time.Duration) time.Duration {
	if d.contact(kind).failing() {
		return 0
	}
	return time.Duration(float64(longest) * (1 - jitter*rand.Float64()))
}

// grace returns how long an answer of a kind may make no progress once it is due.
func (d *Directory) grace(kind string) time.Duration {
	if d.contact(kind).failing() {
		return failingGrace
	}
	return followGrace
}

// waitForRetry waits after a call that failed until backoff has passed since it was sent.
func (d *Directory) waitForRetry(ctx context.Context, failed call, backoff time.Duration) {
	pause := withJitter(backoff) - d.options.Clock.Now().Sub(failed.sent)
	_ = clock.Wait(ctx, d.options.Clock, max(pause, retryMin/2))
}
