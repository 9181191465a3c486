package session

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"siskincove/endpoint"
)

const (
	// Parameter is the name under which a token is reported to callers and may be sent back at startup.
	TokenParameter = "siskincove.token"

	macBytes = 16
	// tokenBytesMaximum bounds what is read of a token from a caller.
	tokenBytesMaximum = 8 << 10
)

// ErrForged is returned for a token that none of the keys made for this caller.
var ErrForged = errors.New("token was not made for this caller")

// Mark is a position that a session must see in a database.
type DatabasePosition struct {
	Database string
	Position endpoint.Position
}

// Token is the positions of a session's own writes; it is an immutable value.
type Token struct {
	marks []DatabasePosition
}

// Position returns the position for a database, and false when the session has none.
func (t Token) Position(database string) (endpoint.Position, bool) {
	for _, m := range t.marks {
		if m.Database == database {
			return m.Position, true
		}
	}
	return endpoint.Position{}, false
}

// With returns a token that also covers a position; positions never go back.
func (t Token) With(database string, position endpoint.Position) Token {
	out := slices.Clone(t.marks)
	for i, m := range out {
		if m.Database == database {
			out[i].Position = m.Position.Max(position)
			return Token{marks: out}
		}
	}
	return Token{marks: append(out, DatabasePosition{Database: database, Position: position})}
}

// WithToken returns a token that covers both.
func (t Token) WithToken(other Token) Token {
	for _, m := range other.marks {
		t = t.With(m.Database, m.Position)
	}
	return t
}

// Empty reports whether the token covers nothing.
func (t Token) Empty() bool { return len(t.marks) == 0 }

// Encode returns the token's text for a caller, authenticated by key.
func (t Token) Encode(caller string, key []byte) string {
	text := t.text()
	return text + "." + hex.EncodeToString(mac(caller, text, key))
}

func (t Token) text() string {
	parts := make([]string, 0, len(t.marks))
	for _, m := range t.marks {
		term := strconv.FormatUint(uint64(m.Position.Term), 10)
		offset := strconv.FormatUint(m.Position.Offset, 10)
		parts = append(parts, m.Database+":"+term+":"+offset)
	}
	return strings.Join(parts, ",")
}

func mac(caller, text string, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(caller + "\x00" + text))
	return h.Sum(nil)[:macBytes]
}

// Decode reads a token's text, which one of the keys must have made for the caller.
func Decode(text, caller string, keys [][]byte) (Token, error) {
	if len(text) > tokenBytesMaximum {
		return Token{}, ErrForged
	}
	cut := strings.LastIndexByte(text, '.')
	if cut < 0 {
		return Token{}, ErrForged
	}
	sum, err := hex.DecodeString(text[cut+1:])
	if err != nil || hex.EncodeToString(sum) != text[cut+1:] || !verified(caller, text[:cut], sum, keys) {
		return Token{}, ErrForged
	}
	return parse(text[:cut])
}

func verified(caller, text string, sum []byte, keys [][]byte) bool {
	for _, key := range keys {
		if hmac.Equal(sum, mac(caller, text, key)) {
			return true
		}
	}
	return false
}

func parse(text string) (Token, error) {
	var t Token
	if text == "" {
		return t, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		m, err := parseMark(part)
		if err != nil {
			return Token{}, err
		}
		t = t.With(m.Database, m.Position)
	}
	return t, nil
}

func parseMark(part string) (DatabasePosition, error) {
	fields := strings.Split(part, ":")
	if len(fields) != 3 {
		return DatabasePosition{}, errors.New("token has a malformed mark")
	}
	term, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return DatabasePosition{}, errors.Wrap(err, "token term")
	}
	offset, err := strconv.ParseUint(fields[2], 10, 64)
	if err != nil {
		return DatabasePosition{}, errors.Wrap(err, "token offset")
	}
	return DatabasePosition{Database: fields[0], Position: endpoint.Position{Term: endpoint.LogTerm(term), Offset: offset}}, nil
}
