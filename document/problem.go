package document

import (
	"fmt"
	"strings"
)

// Problem is an error in a file. Key is empty if it concerns no key.
type Problem struct {
	Location Location
	Key      string
	Message  string
}

// String returns "file:line: key: message", without the key if there is none.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Location, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Location, p.Key, p.Message)
}

// Problems are the errors in a set of files. It implements error, with one line per problem.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
