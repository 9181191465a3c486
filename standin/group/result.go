package group

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	textOID = 25
	int8OID = 20
)

// column is a result column's name and type.
type column struct {
	name string
	oid  uint32
}

// result is the result of a statement.
type result struct {
	columns []column
	rows    [][]string
	tag     string
}

func (r result) description() *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, 0, len(r.columns))
	for _, c := range r.columns {
		fields = append(fields, pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
		})
	}
	return &pgproto3.RowDescription{Fields: fields}
}

func textColumns(names ...string) []column {
	out := make([]column, 0, len(names))
	for _, name := range names {
		out = append(out, column{name: name, oid: textOID})
	}
	return out
}

// sqlError is an error with its SQLSTATE.
type sqlError struct {
	code    string
	message string
}

// Error returns the message.
func (e sqlError) Error() string { return e.message }

const (
	codeReadOnly       = "25006"
	codeSyntax         = "42601"
	codeAborted        = "25P02"
	codeTooMany        = "53300"
	codeUndefinedName  = "26000"
	codeControl        = "55000"
	codeProtocol       = "08P01"
	codeFeature        = "0A000"
	statusIdle         = byte('I')
	statusTransaction  = byte('T')
	statusFailed       = byte('E')
	serverVersion      = "15.0"
	clientEncoding     = "UTF8"
	codeCanceled       = "57014"
	maxMessageBodySize = 64 << 20
)
