package pool

import (
	"github.com/cockroachdb/errors"

	"siskincove/message"
	"siskincove/peer/wire"
)

// batch is the payload to send for a request and the operations whose responses are expected.
type batch struct {
	payload    []byte
	operations []operation
}

// newBatch builds the batch of a request for a connection. It adds a Parse for each statement that the request uses and
// that is not prepared on the connection, and leaves out a Parse of one that already is.
func newBatch(c *connection, request *wire.Request) (batch, error) {
	if !request.GetExtended() {
		return batch{payload: request.GetPayload(), operations: []operation{{kind: message.Query}}}, nil
	}
	b := &batchBuilder{connection: c, request: request, parsed: make(map[string]bool)}
	rest := request.GetPayload()
	for len(rest) > 0 {
		var m message.Raw
		var err error
		m, rest, err = message.Next(rest)
		if err != nil {
			return batch{}, err
		}
		if err := b.add(m); err != nil {
			return batch{}, err
		}
	}
	return b.batch, nil
}

// batchBuilder builds a batch from the messages of an extended-protocol request.
type batchBuilder struct {
	connection *connection
	request    *wire.Request
	// parsed holds the names of the statements that the batch prepares.
	parsed map[string]bool
	batch  batch
}

func (b *batchBuilder) add(m message.Raw) error {
	name, named, err := message.StatementName(m)
	if err != nil {
		return err
	}
	switch {
	case m.Type() == message.Parse:
		b.addParse(m, name)
		return nil
	case m.Type() == message.Close && named:
		b.expectReply(operation{kind: message.Close, handling: synthesizeReply})
		return nil
	case named && !b.hasStatement(name):
		if err := b.injectParse(name); err != nil {
			return err
		}
	}
	b.appendMessage(m)
	if m.Type() != message.Flush {
		b.expectReply(operation{kind: m.Type(), handling: forwardReply})
	}
	return nil
}

func (b *batchBuilder) hasStatement(name string) bool {
	return b.parsed[name] || name != "" && b.connection.prepared[name]
}

func (b *batchBuilder) addParse(m message.Raw, name string) {
	if name != "" && b.hasStatement(name) {
		b.expectReply(operation{kind: message.Parse, handling: synthesizeReply})
		return
	}
	b.appendMessage(m)
	b.parsed[name] = true
	b.expectReply(operation{kind: message.Parse, prepares: name})
}

// injectParse adds the Parse of a statement that an earlier request of the session prepared on another connection.
func (b *batchBuilder) injectParse(name string) error {
	for _, p := range b.request.GetPrepared() {
		if p.GetName() != name {
			continue
		}
		b.appendMessage(p.GetParse())
		b.parsed[name] = true
		b.expectReply(operation{kind: message.Parse, handling: dropReply, prepares: name})
		return nil
	}
	return errors.Newf("unknown prepared statement %q", name)
}

func (b *batchBuilder) appendMessage(m message.Raw) { b.batch.payload = append(b.batch.payload, m...) }

func (b *batchBuilder) expectReply(o operation) { b.batch.operations = append(b.batch.operations, o) }
