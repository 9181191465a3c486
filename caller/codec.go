package caller

import (
	"net"
	"time"

	"siskincove/statement"
	"siskincove/verdict"
)

// Codec is the protocol towards one caller.
type Codec interface {
	// Open reads how the caller starts its session.
	Open() (statement.Opening, error)
	// Greet tells the caller that its session is open.
	Greet() error
	// Next reads the next request; io.EOF means that the caller has left. A verdict error comes with a request that can be
	// answered but not run. After a deadline the read goes on where it stopped.
	Next() (statement.Request, error)
	// Answer sends the whole answer to a request; done is false for an answer that only tells the state.
	Answer(a statement.Answer, done bool) error
	// Refuse tells the caller why its session does not begin, or ends while no request is outstanding.
	Refuse(e *verdict.Error) error
	// SetReadDeadline bounds the wait for the next request; the zero time means no bound.
	SetReadDeadline(at time.Time) error
}

// Protocol returns the codec over a caller's connection.
type Protocol func(conn net.Conn) Codec
