package pool

import (
	"bytes"

	"siskincove/message"
)

const (
	// chunkBytes is how much of a reply is buffered before it is forwarded.
	chunkBytes = 32 << 10

	statusIdle        = byte('I')
	statusTransaction = byte('T')

	sqlStateReadOnly = "25006"
)

// reply collects the endpoint's responses to a batch.
type reply struct {
	connection *connection
	operations []operation
	// payload is not yet forwarded; the part from heldFrom on is held back until a commit is confirmed. heldFrom is -1
	// while nothing is held back.
	payload  []byte
	heldFrom int
	// status is the transaction status of the last ReadyForQuery, 0 before the first one.
	status byte
	// commandCompleted is set when a command other than ROLLBACK has completed.
	commandCompleted bool
	// sqlState is the SQLSTATE of the last error.
	sqlState string
}

func newReply(c *connection, b batch) *reply {
	return &reply{connection: c, operations: b.operations, heldFrom: -1}
}

// done reports whether every expected response has arrived.
func (r *reply) done() bool {
	r.addSynthetic()
	return len(r.operations) == 0
}

// addSynthetic adds the responses to leading operations that were not sent to the endpoint.
func (r *reply) addSynthetic() {
	for len(r.operations) > 0 && r.operations[0].handling == synthesizeReply {
		r.payload = append(r.payload, r.operations[0].syntheticReply()...)
		r.operations = r.operations[1:]
	}
}

// readMessage reads one message from the endpoint.
func (r *reply) readMessage() error {
	r.addSynthetic()
	start := len(r.payload)
	payload, m, err := r.connection.reader.Append(r.payload)
	r.payload = payload
	if err != nil {
		return err
	}
	r.track(m, start)
	if len(r.operations) > 0 && r.operations[0].completedBy(m.Type()) {
		r.completeOperation(start)
		return nil
	}
	if m.Type() == message.ErrorResponse {
		r.skipToSync()
	}
	return nil
}

// track updates the state of the reply from a message that begins at start in the payload.
func (r *reply) track(m message.Raw, start int) {
	switch m.Type() {
	case message.CommandComplete:
		if !bytes.HasPrefix(m.Body(), []byte("ROLLBACK")) {
			r.commandCompleted = true
		}
		if r.heldFrom < 0 {
			r.heldFrom = start
		}
	case message.ErrorResponse:
		r.sqlState = message.ErrorCode(m)
	case message.ReadyForQuery:
		r.status = m.Body()[0]
	}
}

func (r *reply) completeOperation(start int) {
	o := r.operations[0]
	r.operations = r.operations[1:]
	if o.prepares != "" {
		r.connection.prepared[o.prepares] = true
	}
	if o.handling == dropReply {
		r.payload = r.payload[:start]
	}
}

// skipToSync drops the operations that the endpoint skips after an error: all up to the next Sync.
func (r *reply) skipToSync() {
	for len(r.operations) > 0 && r.operations[0].kind != message.Sync && r.operations[0].kind != message.Query {
		r.operations = r.operations[1:]
	}
}

// takeChunk removes and returns the part of the payload that may be forwarded, or nil if it is less than chunkBytes. In
// the reply to a write, the part from heldFrom on may not be forwarded yet.
func (r *reply) takeChunk(write bool) []byte {
	end := len(r.payload)
	if write && r.heldFrom >= 0 {
		end = r.heldFrom
	}
	if end < chunkBytes {
		return nil
	}
	chunk := r.payload[:end:end]
	r.payload = append([]byte(nil), r.payload[end:]...)
	if r.heldFrom >= 0 {
		r.heldFrom -= end
	}
	return chunk
}
