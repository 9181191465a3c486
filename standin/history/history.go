package history

import (
	"time"

	"siskincove/standin/hosting"
)

// Route is what a route promises of reads.
type Route struct {
	Name string
	// Own tells that a session sees its own commits.
	ReadYourWrites bool
	// Age is how old what is read may be, 0 for not at all.
	MaxAge time.Duration
}

// Kind says what an operation is.
type Kind uint8

const (
	// Write is a write outside of a transaction.
	Write Kind = iota
	// Read is a read outside of a transaction.
	Read
	// Begin begins a transaction.
	Begin
	// Inside is a statement of a transaction.
	TransactionStatement
	// Commit ends a transaction.
	Commit
	// Other is anything else.
	Other
)

// Gone is the code of an operation whose session ended without its answer.
const NoAnswer = "GONE"

// Operation is what a caller sent and what it saw of it.
type Operation struct {
	Session string
	Route   Route
	ID      string
	Kind    Kind
	// Transaction numbers the session's transactions from 1; 0 is outside of any.
	Transaction int
	// Writes tells that the operation writes the item, and Item what is written or read.
	Writes bool
	Item   string
	// Sent is before the first byte, Answered after the last one of the answer.
	Sent     time.Time
	Answered time.Time
	Result   hosting.Result
}

// promised are the codes that promise that nothing is kept.
func promised(code string) bool {
	switch code {
	case "", NoAnswer, "UNSURE", "TIMEOUT", "FAILED":
		return false
	default:
		return true
	}
}

// acknowledged reports whether the operation made its writes last.
func (o Operation) acknowledged() bool {
	return o.Result.Code == "" && (o.Kind == Write || o.Kind == Commit)
}

// History is everything that was seen.
type History struct {
	Operations []Operation
	// Runs are the statements that endpoints ran, in order, and Log the commits that last.
	Runs []hosting.Run
	Log  []hosting.Record
}
