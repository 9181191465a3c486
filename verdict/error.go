package verdict

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// SQLSTATE codes that carry a verdict to callers.
const (
	// CodeNotRun is sent for a request that did not run and can safely be retried.
	CodeNotRun = "57P05"
	// CodeMayHaveRun is sent for a request whose outcome is unknown.
	CodeMayHaveRun = "08007"
	// CodeOverload is sent for a request refused because of load, or beyond the allotment of its workspace.
	CodeOverload = "53400"
	// CodeAuthorization is sent for a request whose caller's key is not valid.
	CodeAuthorization = "28000"
	// CodeUnsupported is sent for an unsupported feature.
	CodeUnsupported = "0A000"
)

// Error is a failure with its verdict. RetryAfter is the time after which to retry, zero if unknown.
type Error struct {
	Verdict    Verdict
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	Cause      error
}

// New returns an error with the given verdict, reason and formatted message.
func New(v Verdict, reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: v, Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Error returns the message with the verdict and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s: %s)", e.Message, e.Verdict, e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter returns a copy that tells the caller when to retry.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	next := *e
	next.RetryAfter = after
	return &next
}

// WithCause returns a copy that wraps cause.
func (e *Error) WithCause(cause error) *Error {
	next := *e
	next.Cause = cause
	return &next
}

// Code returns the SQLSTATE that carries the verdict.
func (e *Error) Code() string {
	switch {
	case e.Verdict == MayHaveRun:
		return CodeMayHaveRun
	case e.Reason == Overload, e.Reason == Allotment:
		return CodeOverload
	case e.Reason == Unauthorized:
		return CodeAuthorization
	case e.Reason == Unsupported:
		return CodeUnsupported
	default:
		return CodeNotRun
	}
}

// Detail returns the text of the protocol's detail field.
func (e *Error) Detail() string {
	return fmt.Sprintf("verdict=%q reason=%s retry_after_ms=%d", e.Verdict, e.Reason, e.RetryAfter.Milliseconds())
}

// From returns the *Error in err's chain, or one with the verdict MayHaveRun if there is none.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return New(MayHaveRun, Broken, "unexpected failure").WithCause(err)
}
