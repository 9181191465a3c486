package document

import "fmt"

// Place is where something stands in a file; Line counts from 1 and is 0 when unknown.
type Location struct {
	File string
	Line int
}

// String returns file:line.
func (p Location) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d", p.File, p.Line)
}
