package pool

import (
	"github.com/cockroachdb/errors"

	"siskincove/message"
	"siskincove/peer/wire"
)

// batch is the bytes to send for a request and the operations whose answers are expected.
type batch struct {
	payload    []byte
	operations []operation
}

// newBatch prepares a request for a connection: statements that the connection lacks are parsed first, those that it
// has are not parsed again.
func newBatch(c *connection, request *wire.Request) (batch, error) {
	if !request.GetExtended() {
		return batch{payload: request.GetPayload(), operations: []operation{{kind: message.Query}}}, nil
	}
	b := &builder{connection: c, request: request, parsed: make(map[string]bool)}
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

// builder collects a batch of extended messages.
type builder struct {
	connection *connection
	request    *wire.Request
	parsed     map[string]bool
	batch      batch
}

func (b *builder) add(m message.Raw) error {
	name, named, err := message.StatementName(m)
	if err != nil {
		return err
	}
	switch {
	case m.Type() == message.Parse:
		b.parse(m, name)
		return nil
	case m.Type() == message.Close && named:
		b.expect(operation{kind: message.Close, treatment: synthesize})
		return nil
	case named && !b.has(name):
		if err := b.inject(name); err != nil {
			return err
		}
	}
	b.send(m)
	if m.Type() != message.Flush {
		b.expect(operation{kind: m.Type(), treatment: pass})
	}
	return nil
}

func (b *builder) has(name string) bool {
	return b.parsed[name] || name != "" && b.connection.prepared[name]
}

func (b *builder) parse(m message.Raw, name string) {
	if name != "" && b.has(name) {
		b.expect(operation{kind: message.Parse, treatment: synthesize})
		return
	}
	b.send(m)
	b.parsed[name] = true
	b.expect(operation{kind: message.Parse, prepares: name})
}

// inject parses a statement that an earlier request of the session had parsed on another connection.
func (b *builder) inject(name string) error {
	for _, p := range b.request.GetPrepared() {
		if p.GetName() != name {
			continue
		}
		b.send(p.GetParse())
		b.parsed[name] = true
		b.expect(operation{kind: message.Parse, treatment: swallow, prepares: name})
		return nil
	}
	return errors.Newf("prepared statement %q is not known", name)
}

func (b *builder) send(m message.Raw) { b.batch.payload = append(b.batch.payload, m...) }

func (b *builder) expect(o operation) { b.batch.operations = append(b.batch.operations, o) }
