package directory

import (
	"maps"
	"slices"
	"time"

	"siskincove/store"
)

const (
	// rereadInterval is how often the whole endpoint table is read although its feed is followed.
	rereadInterval = 30 * time.Second
	// plainReads is how long the table is read without its feed after the store had dropped the history of changes, as it may
	// do so again.
	plainReads = 10 * time.Second
)

// endpointFeed holds the rows of the endpoint table as of a version of the store. It is an immutable value; the zero value holds
// no rows.
type endpointFeed struct {
	rows    map[string]store.Row
	version store.Version
	// readAt is when the whole table was read, zero if the feed must not be followed.
	readAt time.Time
	// plainUntil is until when the feed must not be followed.
	plainUntil time.Time
}

// readFrom returns the feed after the whole table has been read.
func (f endpointFeed) readFrom(page store.Page, now time.Time) endpointFeed {
	f.rows, f.version, f.readAt = make(map[string]store.Row, len(page.Rows)), page.Version, now
	for _, row := range page.Rows {
		f.rows[row.Key.Key] = row
	}
	return f
}

// with returns the feed after changes of the table.
func (f endpointFeed) with(changes store.Changes) endpointFeed {
	f.version = changes.Version
	if len(changes.Changes) == 0 {
		return f
	}
	f.rows = maps.Clone(f.rows)
	for _, c := range changes.Changes {
		switch {
		case c.Row.Key.Part != "":
			// Endpoints register themselves in the empty part.
		case c.Deleted:
			delete(f.rows, c.Row.Key.Key)
		default:
			f.rows[c.Row.Key.Key] = c.Row
		}
	}
	return f
}

// compacted returns the feed after the store has dropped the changes since its version.
func (f endpointFeed) compacted(now time.Time) endpointFeed {
	return endpointFeed{plainUntil: now.Add(plainReads)}
}

// mayFollow reports whether changes since the feed's version are enough; otherwise the whole table has to be read.
func (f endpointFeed) mayFollow(now time.Time) bool {
	return !f.readAt.IsZero() && now.Sub(f.readAt) < rereadInterval && !now.Before(f.plainUntil)
}

func (f endpointFeed) all() []store.Row { return slices.Collect(maps.Values(f.rows)) }
