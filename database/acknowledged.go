package database

import (
	"time"

	"siskincove/endpoint"
)

// RecordAcknowledged records that an endpoint has just acknowledged a write, at a position.
func (d *Database) RecordAcknowledged(position endpoint.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = d.view.WithAcknowledged(position, d.options.Clock.Now())
}

// RecordPeerAcknowledged records a peer's report that an endpoint acknowledged a write at a position.
func (d *Database) RecordPeerAcknowledged(position endpoint.Position, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = d.view.WithAcknowledged(position, at)
}
