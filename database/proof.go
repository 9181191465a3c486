package database

import "time"

const (
	// proofGap is the time without a proof of the lead after which waiting reads are notified of the next one; staleness
	// allowances are longer.
	proofGap = 500 * time.Millisecond
	// ProofFetchTimeout is how long reads wait for one of them to fetch a proof of the lead, which takes a new connection
	// and a statement.
	ProofFetchTimeout = 150 * time.Millisecond
)

// ClaimProofFetch reports whether a read may fetch a proof of the lead from the primary, and if so claims the fetch for
// ProofFetchTimeout. Meanwhile the other reads wait, because the answer lets them go to replicas.
func (d *Database) ClaimProofFetch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	if now.Before(d.proofFetchUntil) {
		return false
	}
	d.proofFetchUntil = now.Add(ProofFetchTimeout)
	return true
}

// WithoutPrimary returns how long statements have needed the group without any proof of an endpoint's lead. The time since
// the last proof alone tells nothing, since nobody may have used the group.
func (d *Database) WithoutPrimary() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.neededSince.IsZero() || !d.view.ProvenAt().Before(d.neededSince) {
		return 0
	}
	return d.options.Clock.Now().Sub(d.neededSince)
}

// recordNeed records that a statement needs the group; d.mu must be held.
func (d *Database) recordNeed(now time.Time) {
	d.usedAt = now
	if d.neededSince.IsZero() || !d.view.ProvenAt().Before(d.neededSince) {
		d.neededSince = now
	}
}
