package document

import "fmt"

// Location is a line of a file. Line counts from 1 and is 0 if unknown.
type Location struct {
	File string
	Line int
}

// String returns file:line, or only the file if the line is unknown.
func (l Location) String() string {
	if l.Line == 0 {
		return l.File
	}
	return fmt.Sprintf("%s:%d", l.File, l.Line)
}
