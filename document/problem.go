package document

import (
	"fmt"
	"strings"
)

// Problem is one thing wrong with a file.
type Problem struct {
	Location Location
	Key      string
	Message  string
}

// String returns file:line: key: message.
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Location, p.Message)
	}
	return fmt.Sprintf("%s: %s: %s", p.Location, p.Key, p.Message)
}

// Problems are all the things wrong with a set of files; as an error it has a line for each.
type Problems []Problem

// Error returns the problems, a line each.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
