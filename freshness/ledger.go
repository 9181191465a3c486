package freshness

import "time"

// restoreSettle is how long after a restore of the store was noticed reads prove nothing: the operator first has to write again
// what the copy lacks.
const restoreSettle = time.Second

// Ledger holds the latest proofs. It is immutable; the zero Ledger holds none.
type Ledger struct {
	// current is the latest proof of a version that was in force when it was recorded, and next the latest one of a newer version.
	current, next Proof
	// era is the latest era of the store that is known, 0 for a store that was never restored, and restoredAt when a new one was
	// first seen.
	era        uint64
	restoredAt time.Time
}

// Usable returns the latest proof of a version that is in force.
func (l Ledger) Usable(inForce uint64) (Proof, bool) {
	latest := l.promoted(inForce).current
	return latest, latest.known()
}

// With returns the ledger with a proof. A proof of an older version than the one in force, or than one that is known to exist, is
// left out: the store was restored from a copy, or the peer lags behind.
func (l Ledger) With(p Proof, inForce uint64) Ledger {
	l = l.promoted(inForce)
	switch {
	case p.Version < inForce, p.Version < l.next.Version:
	case p.Version == inForce && p.At.After(l.current.At):
		l.current = p
	case p.Version > inForce && p.At.After(l.next.At):
		l.next = p
	}
	return l
}

// WithEra returns the ledger after the store's era became known, from an answer of the store or from a peer. A new one means that the
// store has been restored from a copy. So may the first one that an instance learns of after its start: the copy may lack a
// version that only its peers know.
func (l Ledger) WithEra(era uint64, now time.Time) Ledger {
	if era > l.era {
		l.era, l.restoredAt = era, now
	}
	return l
}

// WithRead returns the ledger with a proof by a read of the store in an era, which was answered by now.
func (l Ledger) WithRead(p Proof, era, inForce uint64, now time.Time) Ledger {
	l = l.WithEra(era, now)
	if era < l.era || !l.restoredAt.IsZero() && p.At.Before(l.restoredAt.Add(restoreSettle)) {
		return l
	}
	return l.With(p, inForce)
}

// promoted returns the ledger in which the next proof is the current one if its version is in force.
func (l Ledger) promoted(inForce uint64) Ledger {
	if !l.next.known() || l.next.Version > inForce {
		return l
	}
	if l.next.At.After(l.current.At) {
		l.current = l.next
	}
	l.next = Proof{}
	return l
}
