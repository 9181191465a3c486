package caller

import (
	"net"
	"time"

	"siskincove/statement"
	"siskincove/verdict"
)

// Codec reads requests from one caller and writes answers to it in the protocol that the caller speaks.
type Codec interface {
	// Open reads the message with which the caller starts its session.
	Open() (statement.StartupParameters, error)
	// ConfirmOpen tells the caller that its session is open.
	ConfirmOpen() error
	// Next reads the next request. It returns io.EOF when the caller has closed the session, and a *verdict.Error together
	// with the request when the request can't be run but must be answered. After a deadline has passed, the next call
	// continues the interrupted read.
	Next() (statement.Request, error)
	// Answer sends the complete answer to a request. done is false for an answer that holds only the transaction state.
	Answer(a statement.Answer, done bool) error
	// Free gives back the memory that the last request took. Answer implies it.
	Free()
	// Refuse tells the caller why its session is not opened, or why it ends while no request is in flight.
	Refuse(e *verdict.Error) error
	// SetReadDeadline sets the deadline of Open and Next; the zero time means none.
	SetReadDeadline(at time.Time) error
}

// Protocol returns a codec that uses conn, a connection accepted from a caller.
type Protocol func(conn net.Conn) Codec
