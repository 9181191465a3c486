package pool

import (
	"bytes"

	"siskincove/message"
)

const (
	// chunkBytes is how much of an answer is collected before it is sent on.
	chunkBytes = 32 << 10

	statusIdle        = byte('I')
	statusTransaction = byte('T')

	codeReadOnly = "25006"
)

// answer collects what the endpoint answers to a batch.
type answer struct {
	connection *connection
	operations []operation
	// out is what may be sent on; the part from held on waits for a commit to be confirmed.
	out  []byte
	held int
	// status is the transaction status of the last ReadyForQuery, 0 before one.
	status byte
	// committed tells that a command completed which was not a rollback.
	committed bool
	// code is the SQLSTATE of the last error.
	code string
}

func newAnswer(c *connection, b batch) *answer {
	return &answer{connection: c, operations: b.operations, held: -1}
}

// done reports whether every expected answer has come.
func (a *answer) done() bool {
	a.synthesize()
	return len(a.operations) == 0
}

// synthesize makes the answers to operations that were not sent, in their place.
func (a *answer) synthesize() {
	for len(a.operations) > 0 && a.operations[0].treatment == synthesize {
		a.out = append(a.out, a.operations[0].synthetic()...)
		a.operations = a.operations[1:]
	}
}

// read takes in one message from the endpoint.
func (a *answer) read() error {
	a.synthesize()
	start := len(a.out)
	out, m, err := a.connection.reader.Append(a.out)
	a.out = out
	if err != nil {
		return err
	}
	a.note(m, start)
	if len(a.operations) > 0 && a.operations[0].ends(m.Type()) {
		a.complete(start)
		return nil
	}
	if m.Type() == message.ErrorResponse {
		a.abort()
	}
	return nil
}

func (a *answer) note(m message.Raw, start int) {
	switch m.Type() {
	case message.CommandComplete:
		if !bytes.HasPrefix(m.Body(), []byte("ROLLBACK")) {
			a.committed = true
		}
		if a.held < 0 {
			a.held = start
		}
	case message.ErrorResponse:
		a.code = message.ErrorCode(m)
	case message.ReadyForQuery:
		a.status = m.Body()[0]
	}
}

func (a *answer) complete(start int) {
	o := a.operations[0]
	a.operations = a.operations[1:]
	if o.prepares != "" {
		a.connection.prepared[o.prepares] = true
	}
	if o.treatment == swallow {
		a.out = a.out[:start]
	}
}

// abort drops the operations that the endpoint skips after an error: all up to the next Sync.
func (a *answer) abort() {
	for len(a.operations) > 0 && a.operations[0].kind != message.Sync && a.operations[0].kind != message.Query {
		a.operations = a.operations[1:]
	}
}

// ready returns what may be sent on now, at least chunkBytes of it, and forgets it.
func (a *answer) ready(write bool) []byte {
	end := len(a.out)
	if write && a.held >= 0 {
		end = a.held
	}
	if end < chunkBytes {
		return nil
	}
	chunk := a.out[:end:end]
	a.out = append([]byte(nil), a.out[end:]...)
	if a.held >= 0 {
		a.held -= end
	}
	return chunk
}
