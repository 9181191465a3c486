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

// SinceLeadProof returns the time since an endpoint last proved its lead, at most the time since this instance learned
// of the group.
func (d *Database) SinceLeadProof() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	proven := d.view.ProvenAt()
	if proven.Before(d.knownAt) {
		proven = d.knownAt
	}
	return d.options.Clock.Now().Sub(proven)
}
