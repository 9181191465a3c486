package directory

import (
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"siskincove/event"
)

const (
	// maxRefusalLines bounds the lines about refused entries in each refusalInterval.
	maxRefusalLines = 20
	refusalInterval = time.Minute
	// maxCauseBytes bounds the text of a cause, which may quote the entry.
	maxCauseBytes = 200
)

var (
	refusedEntries = metrics.NewGauge(`siskincove_entries_refused`, nil)
	entriesRefused = metrics.NewCounter(`siskincove_entries_refused_total`)
)

// refusals counts and logs the entries that can't be used. Other writers may change such entries as often as they like.
type refusals struct {
	since          time.Time
	lines, dropped int
}

// log counts the refusal of an entry and logs it unless there were too many lines lately.
func (r *refusals) log(logger *event.Logger, name string, cause error, now time.Time) {
	entriesRefused.Inc()
	if r.since.IsZero() || now.Sub(r.since) >= refusalInterval {
		r.since, r.lines = now, 0
	}
	if r.lines >= maxRefusalLines {
		r.dropped++
		return
	}
	fields := log.Fields{"endpoint": bounded(name), "error": bounded(cause.Error())}
	if r.dropped > 0 {
		fields["dropped"] = r.dropped
	}
	r.lines, r.dropped = r.lines+1, 0
	logger.Log(event.EntryUnreadable, fields)
}

// bounded returns the beginning of a text that another writer may have chosen.
func bounded(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxCauseBytes)], "\uFFFD")
}
