package directory

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"siskincove/event"
	"siskincove/store"
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
