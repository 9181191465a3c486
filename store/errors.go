package store

import "github.com/cockroachdb/errors"

var (
	// ErrAbsent is returned for a row or an object that does not exist.
	ErrAbsent = errors.New("absent")
	// ErrConflict is returned for a transaction that certainly took no effect because a row had changed.
	ErrConflict = errors.New("version conflict")
	// ErrCompacted is returned for a feed whose history is no longer kept.
	ErrCompacted = errors.New("history is gone")
	// ErrRejected is returned for a call that the store refused and that certainly took no effect.
	ErrRejected = errors.New("rejected by the store")
)
