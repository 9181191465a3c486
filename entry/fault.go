package entry

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes of errors that carry no verdict.
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

// errDrained ends an idle session of an instance that leaves.
var errDrained = errors.New("instance is leaving")

// protocolFault is a caller's fault that ends its connection.
type protocolFault struct {
	code    string
	message string
}

// Error returns the message for the caller.
func (f *protocolFault) Error() string { return f.message }

func fault(code, format string, args ...any) error {
	return &protocolFault{code: code, message: fmt.Sprintf(format, args...)}
}

func fatal(code, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: code, Message: text}
}

func failed(code, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: text}
}
