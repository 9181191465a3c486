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
	if err := b.nameStatements(); err != nil {
		return batch{}, err
	}
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
	// statements maps the names of statements in the request to the statements.
	statements map[string]statement
	// parsed holds the names of the statements that the batch prepares.
	parsed map[string]bool
	batch  batch
}

// statement is a prepared statement under the name that it has on connections: its Parse message.
type statement struct {
	name  string
	parse message.Raw
}

// nameStatements determines the names under which the statements of the request are prepared.
func (b *batchBuilder) nameStatements() error {
	b.statements = make(map[string]statement, len(b.request.GetPrepared()))
	for _, p := range b.request.GetPrepared() {
		s, err := newStatement(p.GetName(), p.GetParse())
		if err != nil {
			return err
		}
		known, ok := b.statements[p.GetName()]
		if ok && known.name != s.name {
			return errors.Newf("two prepared statements of one request are named %q", p.GetName())
		}
		if !ok {
			b.statements[p.GetName()] = s
		}
	}
	return nil
}

// newStatement returns the statement of a Parse message with the name that it has in a request. Entries of older builds
// send names that don't tell all texts apart, so the statement gets another one.
func newStatement(name string, parse message.Raw) (statement, error) {
	if name == "" || message.IsSharedName(name) {
		return statement{name: name, parse: parse}, nil
	}
	name, err := message.SharedName(parse)
	if err != nil {
		return statement{}, err
	}
	parse, err = message.WithStatementName(parse, name)
	return statement{name: name, parse: parse}, err
}

func (b *batchBuilder) add(m message.Raw) error {
	name, named, err := message.StatementName(m)
	if err != nil {
		return err
	}
	switch {
	case m.Type() == message.Parse:
		return b.addParse(m, name)
	case m.Type() == message.Close && named:
		b.expectReply(operation{kind: message.Close, handling: synthesizeReply})
		return nil
	case named:
		if m, err = b.prepared(m, name); err != nil {
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

func (b *batchBuilder) addParse(m message.Raw, name string) error {
	s, err := newStatement(name, m)
	if err != nil {
		return err
	}
	if _, listed := b.statements[name]; !listed {
		b.statements[name] = s
	}
	if s.name != "" && b.hasStatement(s.name) {
		b.expectReply(operation{kind: message.Parse, handling: synthesizeReply})
		return nil
	}
	b.appendMessage(s.parse)
	b.parsed[s.name] = true
	b.expectReply(operation{kind: message.Parse, prepares: s.name})
	return nil
}

// prepared returns a Bind or Describe message with the name that its statement has on the connection. If an earlier request of the
// session prepared the statement on another connection, its Parse message is added to the batch.
func (b *batchBuilder) prepared(m message.Raw, name string) (message.Raw, error) {
	if name == "" && b.parsed[name] {
		return m, nil
	}
	s, ok := b.statements[name]
	if !ok {
		return nil, errors.Newf("unknown prepared statement %q", name)
	}
	if !b.hasStatement(s.name) {
		b.appendMessage(s.parse)
		b.parsed[s.name] = true
		b.expectReply(operation{kind: message.Parse, handling: dropReply, prepares: s.name})
	}
	if s.name == name {
		return m, nil
	}
	return message.WithStatementName(m, s.name)
}

func (b *batchBuilder) appendMessage(m message.Raw) { b.batch.payload = append(b.batch.payload, m...) }

func (b *batchBuilder) expectReply(o operation) { b.batch.operations = append(b.batch.operations, o) }
