package commands

import "github.com/cockroachdb/errors"

// Exit codes of the tool.
const (
	// ExitFailure means that something outside the objects failed, such as the platform.
	ExitFailure = 1
	// ExitInvalid means that objects, settings or arguments are wrong.
	ExitInvalid = 2
	// ExitDiffers means that plan found changes.
	ExitDiffers = 3
	// ExitConflict means that another operator published first.
	ExitConflict = 4
	// ExitUnmet means that a load found a broken promise.
	ExitGuaranteeViolated = 5
)

// ExitError is an error with the code that the tool ends with.
type ExitError struct {
	Code  int
	Cause error
}

// Error returns the cause's text.
func (e *ExitError) Error() string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// Code returns the code for an error: that of an ExitError in its chain, or ExitFailure.
func ExitCode(err error) int {
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}
