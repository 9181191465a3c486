package group

import (
	"time"

	"siskincove/endpoint"
)

// change is one row written by a transaction.
type change struct {
	table  string
	key    string
	value  string
	update bool
}

// record is one committed transaction in a member's log.
type record struct {
	term    endpoint.LogTerm
	serial  uint64
	changes []change
	at      time.Time
}

// same reports whether two records are the same entry of the same history.
func (r record) same(other record) bool {
	return r.term == other.term && r.serial == other.serial
}
