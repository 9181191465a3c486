package pool

import "siskincove/message"

// replyHandling says what to do with the response to an operation.
type replyHandling uint8

const (
	// forwardReply forwards the response to the caller.
	forwardReply replyHandling = iota
	// dropReply drops the response to an operation that the pool added.
	dropReply
	// synthesizeReply creates the response to an operation that was not sent.
	synthesizeReply
)

// operation is a message, sent to the endpoint or not, to which a response is expected.
type operation struct {
	kind     message.Type
	handling replyHandling
	// prepares names the statement that is prepared on the connection once the operation has succeeded.
	prepares string
}

// completedBy reports whether a response of the type completes the operation.
func (o operation) completedBy(response message.Type) bool {
	switch o.kind {
	case message.Parse:
		return response == message.ParseComplete
	case message.Bind:
		return response == message.BindComplete
	case message.Close:
		return response == message.CloseComplete
	case message.Describe:
		return response == message.RowDescription || response == message.NoData
	case message.Execute:
		return response == message.CommandComplete || response == message.EmptyQueryResponse || response == message.PortalSuspended
	default:
		return response == message.ReadyForQuery
	}
}

// syntheticReply returns the response to an operation that was not sent.
func (o operation) syntheticReply() message.Raw {
	if o.kind == message.Close {
		return message.New(message.CloseComplete, nil)
	}
	return message.New(message.ParseComplete, nil)
}
