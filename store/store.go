package store

import (
	"context"
	"time"
)

// Key identifies a row by table, part and key. A part is a partition of the rows, to which a transaction is limited;
// Part may be empty.
type Key struct {
	Table string
	Part  string
	Key   string
}

// Row is a stored row. Version is that of the transaction that wrote it; versions increase across the whole store.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
}

// Expectation is the version that a row must have for a transaction to be applied; 0 means that the row must not exist.
type Expectation struct {
	Key     Key
	Version Version
}

// Transaction is a set of changes applied atomically if every row in Expect has the expected version. All its rows must be
// in the same part.
type Transaction struct {
	Expect  []Expectation
	Puts    []Row
	Deletes []Key
}

// Page is part of a range of rows, ordered by key, read in one snapshot. Version is the store's version at that time, and
// More is set if rows of the range follow.
type Page struct {
	Rows    []Row
	More    bool
	Version Version
}

// Change is a row that was stored or, if Deleted is set, deleted.
type Change struct {
	Row     Row
	Deleted bool
}

// Changes are the changes of a table after some version, in order. The next call of Rows.Follow resumes after Version.
type Changes struct {
	Changes []Change
	Version Version
}

// Rows gives access to the tables of the store. After an error other than ErrConflict, ErrCompacted or ErrRejected, the
// outcome of a transaction is unknown.
type Rows interface {
	// Commit applies a transaction and returns its version, or ErrConflict if an expectation does not hold.
	Commit(ctx context.Context, t Transaction) (Version, error)
	// Range returns the rows of a part with from <= key < to; an empty to means no upper bound.
	Range(ctx context.Context, table, part, from, to string) (Page, error)
	// Follow returns the changes of a table after a version, waiting up to maxWait for the first. ErrCompacted means that
	// the store no longer has the history since that version, so that the table has to be read again.
	Follow(ctx context.Context, table string, after Version, maxWait time.Duration) (Changes, error)
}

// Objects gives access to a store of immutable byte strings.
type Objects interface {
	// Get reads the object at key; it returns ErrAbsent if there is none.
	Get(ctx context.Context, key string) ([]byte, error)
	// Put stores data at key; storing the same data again has no effect.
	Put(ctx context.Context, key string, data []byte) error
}
