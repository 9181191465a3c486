package document

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written as a number with a unit, such as "1.5s" or "200ms".
type Duration time.Duration

// UnmarshalText parses the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration; write a number with a unit, such as \"200ms\" or \"5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText returns the duration in the syntax of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
