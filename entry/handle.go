package entry

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"siskincove/message"
	"siskincove/verdict"
)

// handle answers one request. An error ends the connection.
func (c *caller) handle(r *request) error {
	if c.skipUntilSync {
		return c.skip(r)
	}
	if err := c.checkSupported(r); err != nil {
		return c.refuse(r, err)
	}
	if handled, err := c.handleLocally(r); handled {
		return err
	}
	return c.dispatch(r)
}

// skip discards the messages that follow an error in an extended request, up to and including its Sync.
func (c *caller) skip(r *request) error {
	if !r.synced {
		return nil
	}
	c.skipUntilSync = false
	return c.sendReadyForQuery()
}

// checkSupported returns an error for a request that is invalid or can't be served over shared connections.
func (c *caller) checkSupported(r *request) error {
	switch {
	case r.refusal != nil:
		return r.refusal
	case c.status == statusFailed && c.stream == nil:
		return nil
	case r.class == classCopy:
		return unsupported("COPY is not supported")
	case r.class == classUnsupported:
		return unsupported("statement requires a dedicated connection and is not supported")
	case c.stream != nil && (r.class == classSet || r.class == classReset || r.class == classDiscard):
		return unsupported("session settings can't be changed inside a transaction; use SET LOCAL")
	case r.wire.GetExtended() && (r.class == classSet || r.class == classReset || r.class == classDiscard || r.class == classDeallocate):
		return unsupported("session settings can be changed only by simple queries")
	default:
		return nil
	}
}

func unsupported(text string) error {
	return verdict.New(verdict.NotRun, verdict.Unsupported, "%s", text)
}

// handleLocally answers requests that concern only the session's state, and reports whether it did.
func (c *caller) handleLocally(r *request) (bool, error) {
	if !r.wire.GetExtended() && r.class == classDeallocate {
		tag, err := c.runDeallocate(r.sql)
		return true, c.completeLocally(r, err, tag)
	}
	if r.wire.GetExtended() || c.stream != nil {
		return false, nil
	}
	switch r.class {
	case classSet:
		return true, c.completeLocally(r, c.runSet(r.sql), "SET")
	case classReset:
		return true, c.completeLocally(r, c.runReset(r.sql), "RESET")
	case classDiscard:
		tag, err := c.runDiscard(r.sql)
		return true, c.completeLocally(r, err, tag)
	case classShow:
		return c.showLocal(r)
	case classCommit, classRollback:
		return true, c.completeOutsideTransaction(r)
	default:
		return false, nil
	}
}

// completeOutsideTransaction answers COMMIT or ROLLBACK when no transaction is open at an endpoint.
func (c *caller) completeOutsideTransaction(r *request) error {
	tag := "COMMIT"
	if r.class == classRollback || c.status == statusFailed {
		tag = "ROLLBACK"
	}
	c.status = statusIdle
	return c.completeLocally(r, nil, tag)
}

func (c *caller) completeLocally(r *request, err error, tag string) error {
	if err != nil {
		return c.refuse(r, err)
	}
	c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return c.sendReadyForQuery()
}

// showLocal answers SHOW for the parameters that only the proxy knows.
func (c *caller) showLocal(r *request) (bool, error) {
	name, value, ok := c.proxyParameter(r.sql)
	if !ok {
		return false, nil
	}
	const textOID = 25
	field := pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	c.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}})
	c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}})
	return true, c.completeLocally(r, nil, "SHOW")
}

// refuse answers a request with an error. An open transaction is ended and its state becomes failed, as in PostgreSQL.
func (c *caller) refuse(r *request, err error) error {
	c.sendError(err)
	if c.status == statusTransaction {
		c.endTransaction()
		c.status = statusFailed
	}
	if !r.synced {
		c.skipUntilSync = true
		return c.writer.Flush()
	}
	return c.sendReadyForQuery()
}

// sendError sends an sqlError, or the verdict of any other error, as an ErrorResponse.
func (c *caller) sendError(err error) {
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		c.send(errorResponse(sqlErr.code, sqlErr.message))
		return
	}
	e := verdict.From(err)
	response := errorResponse(e.Code(), e.Message)
	response.Detail = e.Detail()
	if e.RetryAfter > 0 {
		response.Hint = "retry in " + e.RetryAfter.String()
	}
	c.send(response)
}

// refuseInFailedTransaction refuses a request other than COMMIT or ROLLBACK in a transaction that the proxy has ended.
func (c *caller) refuseInFailedTransaction(r *request) error {
	return c.refuse(r, sqlErrorf(codeAborted, "current transaction is aborted, commands ignored until end of transaction block"))
}

// onlySync reports whether an extended request consists of a single Sync.
func onlySync(payload []byte) bool {
	return len(payload) == message.HeaderBytes && message.Raw(payload).Type() == message.Sync
}
