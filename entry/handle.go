package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/message"
	"siskincove/verdict"
)

// handle answers one request; an error ends the connection.
func (c *caller) handle(r *request) error {
	if c.skipping {
		return c.skip(r)
	}
	if err := c.precheck(r); err != nil {
		return c.refuse(r, err)
	}
	if handled, err := c.local(r); handled {
		return err
	}
	return c.dispatch(r)
}

// skip drops what follows an error in an extended request until its Sync.
func (c *caller) skip(r *request) error {
	if !r.synced {
		return nil
	}
	c.skipping = false
	return c.ready()
}

// precheck refuses what can't be served through shared connections.
func (c *caller) precheck(r *request) error {
	switch {
	case r.fault != nil:
		return r.fault
	case c.status == statusFailed && c.stream == nil:
		return nil
	case r.class == classCopy:
		return unsupported("COPY is not supported")
	case r.class == classRefused:
		return unsupported("statement needs a connection of its own and is not supported")
	case c.stream != nil && (r.class == classSet || r.class == classReset || r.class == classDiscard):
		return unsupported("session settings can't be changed inside a transaction; use SET LOCAL")
	case r.wire.GetExtended() && (r.class == classSet || r.class == classReset || r.class == classDiscard || r.class == classDeallocate):
		return unsupported("session settings are changed by simple queries only")
	default:
		return nil
	}
}

func unsupported(text string) error {
	return verdict.New(verdict.NotRun, verdict.Unsupported, "%s", text)
}

// local answers what concerns the session alone.
func (c *caller) local(r *request) (bool, error) {
	if !r.wire.GetExtended() && r.class == classDeallocate {
		// The statements of the session live here; those of the same names at the endpoint are shared.
		return true, c.finishLocal(r, nil, "DEALLOCATE ALL")
	}
	if r.wire.GetExtended() || c.stream != nil {
		return false, nil
	}
	switch r.class {
	case classSet:
		return true, c.finishLocal(r, c.setStatement(r.sql), "SET")
	case classReset:
		return true, c.finishLocal(r, c.reset(r.sql), "RESET")
	case classDiscard:
		clear(c.settings)
		clear(c.statements)
		return true, c.finishLocal(r, nil, "DISCARD ALL")
	case classShow:
		return c.showLocal(r)
	case classCommit, classRollback:
		return true, c.finishOutside(r)
	default:
		return false, nil
	}
}

// finishOutside answers COMMIT or ROLLBACK when no transaction is open at an endpoint.
func (c *caller) finishOutside(r *request) error {
	tag := "COMMIT"
	if r.class == classRollback || c.status == statusFailed {
		tag = "ROLLBACK"
	}
	c.status = statusIdle
	return c.finishLocal(r, nil, tag)
}

func (c *caller) finishLocal(r *request, err error, tag string) error {
	if err != nil {
		return c.refuse(r, err)
	}
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return c.ready()
}

func (c *caller) showLocal(r *request) (bool, error) {
	name, value, ok := c.ownParameter(r.sql)
	if !ok {
		return false, nil
	}
	const textOID = 25
	field := pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	c.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}})
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return true, c.finishLocal(r, nil, "SHOW")
}

// refuse answers a request with an error; inside a transaction the transaction is then failed, as callers expect.
func (c *caller) refuse(r *request, err error) error {
	c.sendError(err)
	if c.status == statusTransaction {
		c.endTransaction()
		c.status = statusFailed
	}
	if !r.synced {
		c.skipping = true
		return c.writer.Flush()
	}
	return c.ready()
}

// sendError sends a verdict or a plain fault as an ErrorResponse.
func (c *caller) sendError(err error) {
	var known *protocolFault
	if errors.As(err, &known) {
		c.send(failed(known.code, known.message))
		return
	}
	e := verdict.From(err)
	response := failed(e.Code(), e.Message)
	response.Detail = e.Detail()
	if e.After > 0 {
		response.Hint = "come back in " + e.After.String()
	}
	c.send(response)
}

// failedTransaction answers requests of a transaction that this side has ended: all but its end are refused.
func (c *caller) failedTransaction(r *request) error {
	return c.refuse(r, fault(codeAborted, "current transaction is aborted, commands ignored until end of transaction block"))
}

// onlySync reports whether an extended request is a Sync alone.
func onlySync(payload []byte) bool {
	return len(payload) == message.HeaderBytes && message.Raw(payload).Type() == message.Sync
}
