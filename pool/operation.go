package pool

import "siskincove/message"

// treatment is what happens to the answer of an operation.
type treatment uint8

const (
	// pass hands the answer to the caller.
	pass treatment = iota
	// swallow drops the answer to an operation that the pool added.
	swallow
	// synthesize makes the answer to an operation that was not sent.
	synthesize
)

// operation is one message sent to the endpoint, or not sent, whose answer is expected.
type operation struct {
	kind      message.Type
	treatment treatment
	// prepares is the statement that exists on the connection once the operation has succeeded.
	prepares string
}

// ends reports whether an answer of the type completes the operation.
func (o operation) ends(answer message.Type) bool {
	switch o.kind {
	case message.Parse:
		return answer == message.ParseComplete
	case message.Bind:
		return answer == message.BindComplete
	case message.Close:
		return answer == message.CloseComplete
	case message.Describe:
		return answer == message.RowDescription || answer == message.NoData
	case message.Execute:
		return answer == message.CommandComplete || answer == message.EmptyQueryResponse || answer == message.PortalSuspended
	default:
		return answer == message.ReadyForQuery
	}
}

// synthetic returns the answer to an operation that was not sent.
func (o operation) synthetic() message.Raw {
	if o.kind == message.Close {
		return message.New(message.CloseComplete, nil)
	}
	return message.New(message.ParseComplete, nil)
}
