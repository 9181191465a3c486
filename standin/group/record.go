package group

import (
	"time"

	"siskincove/endpoint"
)

// change is one row that a transaction inserts or updates.
type change struct {
	table  string
	key    string
	value  string
	update bool
}

// record is one committed transaction in a member's log.
type record struct {
	term        endpoint.LogTerm
	serial      uint64
	changes     []change
	committedAt time.Time
}

// sameEntry reports whether two records are the same log entry.
func (r record) sameEntry(other record) bool {
	return r.term == other.term && r.serial == other.serial
}
