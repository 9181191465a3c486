package endpoint

import (
	"cmp"
	"fmt"
)

// LogTerm is the term under which a record was written.
type LogTerm uint64

// FencedTerm is a term that an endpoint has promised: it refuses requests under any lower term.
type FencedTerm uint64

// Position is a position in a group's log: the term of a record and its offset, in the vendor's unit of bytes or records.
type Position struct {
	Term   LogTerm
	Offset uint64
}

// Compare orders positions by term, then by offset.
func (p Position) Compare(other Position) int {
	if order := cmp.Compare(p.Term, other.Term); order != 0 {
		return order
	}
	return cmp.Compare(p.Offset, other.Offset)
}

// Covers reports whether p is at or past other.
func (p Position) Covers(other Position) bool { return p.Compare(other) >= 0 }

// Max returns the later of two positions.
func (p Position) Max(other Position) Position {
	if p.Covers(other) {
		return p
	}
	return other
}

// String returns the position as term/offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }
