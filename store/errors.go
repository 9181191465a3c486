package store

import "github.com/cockroachdb/errors"

var (
	// ErrAbsent is returned for a row or an object that does not exist.
	ErrAbsent = errors.New("not found")
	// ErrConflict is returned for a transaction that was not applied because a row does not have the expected version.
	ErrConflict = errors.New("version conflict")
	// ErrCompacted is returned for a feed whose history the store no longer keeps.
	ErrCompacted = errors.New("change history compacted")
	// ErrRestored is returned for a transaction whose answer showed that the store had been restored from a copy since a
	// row that it expects was read; it may have replaced other content than expected.
	ErrRestored = errors.New("store was restored meanwhile")
	// ErrRejected is returned for a call that the store refused and that had no effect.
	ErrRejected = errors.New("rejected by the store")
)
