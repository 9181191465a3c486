package statement

import (
	"crypto/sha256"
	"encoding/base64"
)

// Prepared is a statement text under the name that it has on connections to endpoints. Sessions of all callers share these names, so
// they are made from all of the text with a hash for which nobody can build two texts with the same result. It is immutable.
type Prepared struct {
	name, text string
	writes     bool
}

// NewPrepared returns the prepared statement of a text. writes is set if the statement changes data.
func NewPrepared(text string, writes bool) Prepared {
	mode := "r"
	if writes {
		mode = "w"
	}
	sum := sha256.Sum256([]byte(text))
	return Prepared{name: mode + base64.RawURLEncoding.EncodeToString(sum[:]), text: text, writes: writes}
}

// Name returns the name of the statement on connections to endpoints.
func (p Prepared) Name() string { return p.name }

// Writes reports whether the statement changes data.
func (p Prepared) Writes() bool { return p.writes }
