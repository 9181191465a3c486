package commands

import "github.com/cockroachdb/errors"

// Exit codes of the siskincove tool.
const (
	// ExitFailure means that an operation failed, such as a request to the platform.
	ExitFailure = 1
	// ExitInvalid means that objects, settings or arguments are invalid.
	ExitInvalid = 2
	// ExitDiffers means that plan found changes.
	ExitDiffers = 3
	// ExitConflict means that another operator published in the meantime.
	ExitConflict = 4
	// ExitGuaranteeViolated means that a load test or a soak found a violated guarantee.
	ExitGuaranteeViolated = 5
	// ExitUnverified means that a load test found no violated guarantee, but could not verify all of them.
	ExitUnverified = 6
)

// ExitError is an error with the exit code that it causes.
type ExitError struct {
	Code  int
	Cause error
}

// Error returns the cause's text, empty if there is no cause.
func (e *ExitError) Error() string {
	if e.Cause == nil {
		return ""
	}
	return e.Cause.Error()
}

// Unwrap returns the cause, which may be nil.
func (e *ExitError) Unwrap() error { return e.Cause }

// ExitCode returns the exit code for an error: that of an ExitError in its chain, or ExitFailure.
func ExitCode(err error) int {
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}
