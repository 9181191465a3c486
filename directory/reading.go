package directory

import "time"

// Reading tells how current the endpoints are.
type Reading struct {
	// Settled is set if endpoints have been known for at least missingGrace; before that, one may be absent only because its
	// entry has lapsed briefly.
	Settled bool
	// Err is why the endpoints could not be read from the store now, nil if they were.
	Err error
	// ReadAt is when the latest read that the store answered this instance was sent, zero if there was none. Peers may have
	// supplied later endpoints.
	ReadAt time.Time
}

// ReadAt returns when the latest read of the endpoints that the store answered was sent, zero if there was none.
func (d *Directory) ReadAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpointsReadAt
}

// recordRead records that the store has answered a read of the endpoints that was sent at a time.
func (d *Directory) recordRead(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.endpointsReadAt) {
		d.endpointsReadAt = sent
	}
}
