package store

import (
	"context"
	"time"
)

// Key names a row; Part may be empty.
type Key struct {
	Table string
	Part  string
	Key   string
}

// Row is a row as stored; Version grows with each transaction of the whole store.
type Row struct {
	Key     Key
	Value   []byte
	Version uint64
}

// Expectation is the version that a row must have for a transaction to apply; 0 means that there is no such row.
type Expectation struct {
	Key     Key
	Version uint64
}

// Transaction is applied as a whole or not at all; all its rows share one part.
type Transaction struct {
	Expect  []Expectation
	Puts    []Row
	Deletes []Key
}

// Page is part of a range of rows as of one moment, ordered by key; Version is the store's newest at that moment.
type Page struct {
	Rows    []Row
	More    bool
	Version uint64
}

// Change is a row that was stored or, if Gone, deleted.
type Change struct {
	Row     Row
	Deleted bool
}

// Changes are what happened to a table after some version, in order; the next call resumes after Version.
type Changes struct {
	Changes []Change
	Version uint64
}

// Rows is the store's tables. Errors are ErrConflict, ErrCompacted and ErrRejected; any other leaves the outcome of a
// transaction unknown.
type Rows interface {
	// Commit applies a transaction and returns its version, or ErrConflict when an expectation does not hold.
	Commit(ctx context.Context, t Transaction) (uint64, error)
	// Range returns the rows of a part whose keys are at or after from, and before to unless that is empty.
	Range(ctx context.Context, table, part, from, to string) (Page, error)
	// Follow returns the changes of a table after a version, and waits up to wait until there is one. ErrCompacted means
	// that the history since then is gone and the table has to be read anew.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects is a store of immutable byte strings.
type Objects interface {
	// Get reads the object at key, or returns ErrAbsent.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put stores data at key; storing the same data twice is harmless.
	Put(ctx context.Context, key string, data []byte) error
}
