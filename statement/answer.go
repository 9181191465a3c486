package statement

import (
	"siskincove/endpoint"
	"siskincove/verdict"
)

// State is a session's or connection's transaction state.
type State uint8

const (
	// Idle is outside a transaction.
	Idle State = iota
	// Open is inside a transaction.
	Open
	// Failed is inside a transaction that can only be ended.
	Failed
)

// Answer is the whole answer to one statement.
type Answer struct {
	Rows []string
	// Receipt is the endpoint's proof that it ran the statement, empty for what was answered here.
	Receipt string
	// Failure is nil for success.
	Failure *verdict.Error
	State   State
	// Position is where the endpoint's log stands as far as it can be read there.
	Position endpoint.Position
	// Standing is the answer to Status, Hold and Resume, nil for other kinds.
	Standing *endpoint.Standing
}

// Refusal returns an answer that holds only a failure.
func Refusal(failure *verdict.Error, state State) Answer {
	return Answer{Failure: failure, State: state}
}
