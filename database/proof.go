package database

import "time"

const (
	// proofGap is the time without a proof of the lead after which reads may wait for the next one; allowances are longer.
	proofGap = 500 * time.Millisecond
	// SeekPatience is how long reads wait for one of them to come back with a proof of the lead: a new connection and a
	// statement.
	SeekTimeout = 150 * time.Millisecond
)

// Seek reports whether a read may seek a proof of the lead at the primary. While one does the others wait, since its answer
// lets them go to replicas.
func (d *Database) Seek() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	if now.Before(d.seekUntil) {
		return false
	}
	d.seekUntil = now.Add(SeekTimeout)
	return true
}

// Leadless returns for how long nothing has proved that an endpoint leads.
func (d *Database) SinceLeadProof() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	proven := d.view.ProvenAt()
	if proven.Before(d.knownAt) {
		proven = d.knownAt
	}
	return d.options.Clock.Now().Sub(proven)
}
