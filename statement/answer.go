package statement

import (
	"siskincove/endpoint"
	"siskincove/verdict"
)

// State is the transaction state of a session or connection.
type State uint8

const (
	// Idle means that no transaction is open.
	Idle State = iota
	// Open means that a transaction is open.
	Open
	// Failed means that a transaction has failed and can only be ended.
	Failed
)

// Answer is the complete answer to one statement.
type Answer struct {
	Rows []string
	// Receipt is the endpoint's proof that it ran the statement, empty if this instance answered it.
	Receipt string
	// Failure is nil on success.
	Failure *verdict.Error
	State   State
	// Position is the log position up to which data can be read at the endpoint.
	Position endpoint.Position
	// Status is the answer to Status, Hold and Resume, nil for other kinds.
	Status *endpoint.PlatformStatus
}

// Refusal returns an answer that contains only a failure.
func Refusal(failure *verdict.Error, state State) Answer {
	return Answer{Failure: failure, State: state}
}
