package history

import (
	"time"

	"siskincove/standin/hosting"
)

// Route is what a route guarantees for reads.
type Route struct {
	Name string
	// ReadYourWrites tells whether a session sees its own commits.
	ReadYourWrites bool
	// MaxAge is the allowed staleness of reads, 0 for none.
	MaxAge time.Duration
}

// Kind is the kind of an operation.
type Kind uint8

const (
	// Write is a write outside of a transaction.
	Write Kind = iota
	// Read is a read outside of a transaction.
	Read
	// Begin begins a transaction.
	Begin
	// TransactionStatement is a statement inside a transaction.
	TransactionStatement
	// Commit commits a transaction.
	Commit
	// Other is anything else.
	Other
)

// NoAnswer is the code of an operation whose session ended before the answer.
const NoAnswer = "GONE"

// Operation is a request of a caller with its answer.
type Operation struct {
	Session string
	// Key is the key that the session presented.
	Key   string
	Route Route
	ID    string
	Kind  Kind
	// Transaction is the number of the transaction in its session, from 1; 0 is outside of any.
	Transaction int
	// Writes tells whether the operation writes Item; otherwise it reads Item.
	Writes bool
	Item   string
	// Sent is the time before the first byte was sent, Answered the time after the last byte of the answer.
	Sent     time.Time
	Answered time.Time
	Result   hosting.Result
}

// isRefused reports whether the code guarantees that the request had no effect.
func isRefused(code string) bool {
	switch code {
	case "", NoAnswer, "UNSURE", "TIMEOUT", "FAILED":
		return false
	default:
		return true
	}
}

// acknowledged reports whether the answer guarantees that the writes are durable.
func (o Operation) acknowledged() bool {
	return o.Result.Code == "" && (o.Kind == Write || o.Kind == Commit)
}

// History is everything recorded in a test.
type History struct {
	Operations []Operation
	// Runs are the executions of statements by endpoints, in order, and Log is the log after the test.
	Runs []hosting.Run
	Log  []hosting.Record
	// Workspaces is what the operator declared of them, zero if there are none.
	Workspaces Workspaces
}
