package entry

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of errors without a verdict.
const (
	codeProtocol      = "08P01"
	codeAuthorization = "28000"
	codePassword      = "28P01"
	codeDatabase      = "3D000"
	codeShutdown      = "57P01"
	codeNotReady      = "57P03"
	codeParameter     = "22023"
	codeFeature       = "0A000"
	codeSyntax        = "42601"
	codeStatement     = "26000"
	codeAborted       = "25P02"
	codeTooMany       = "53300"
	codeIdle          = "25P03"
)

// errShutdown ends an idle session while the instance drains.
var errShutdown = errors.New("instance is leaving")

// sqlError is an error with an SQLSTATE and without a verdict. It ends the connection when it occurs during startup or
// while a request is read; otherwise only the request fails.
type sqlError struct {
	code    string
	message string
}

// Error returns the message that is sent to the caller.
func (e *sqlError) Error() string { return e.message }

func sqlErrorf(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func fatalResponse(code, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text}
}

func errorResponse(code, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text}
}
