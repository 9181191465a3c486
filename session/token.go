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
	// TokenParameter is the name of the parameter in which a token is reported to callers and may be sent back at startup.
	TokenParameter = "siskincove.token"

	macBytes = 16
	// tokenBytesMaximum is the largest token text that is accepted from a caller.
	tokenBytesMaximum = 8 << 10
)

// ErrForged is returned for a token that was not issued to this caller under any of the keys.
var ErrForged = errors.New("token was not issued to this caller")

// DatabasePosition is the position in a database that a session must see.
type DatabasePosition struct {
	Database string
	Position endpoint.Position
}

// Token holds the positions of a session's own writes, one per database. It is an immutable value.
type Token struct {
	positions []DatabasePosition
}

// Position returns the position for a database, and false if the token has none.
func (t Token) Position(database string) (endpoint.Position, bool) {
	for _, p := range t.positions {
		if p.Database == database {
			return p.Position, true
		}
	}
	return endpoint.Position{}, false
}

// With returns a token that also covers a position. The position for a database never decreases.
func (t Token) With(database string, position endpoint.Position) Token {
	out := slices.Clone(t.positions)
	for i, p := range out {
		if p.Database == database {
			out[i].Position = p.Position.Max(position)
			return Token{positions: out}
		}
	}
	return Token{positions: append(out, DatabasePosition{Database: database, Position: position})}
}

// WithToken returns a token that covers the positions of both tokens.
func (t Token) WithToken(other Token) Token {
	for _, p := range other.positions {
		t = t.With(p.Database, p.Position)
	}
	return t
}

// Empty reports whether the token holds no positions.
func (t Token) Empty() bool { return len(t.positions) == 0 }

// Encode returns the text of the token as issued to a caller: its positions and a MAC made with key.
func (t Token) Encode(caller string, key []byte) string {
	text := t.text()
	return text + "." + hex.EncodeToString(mac(caller, text, key))
}

func (t Token) text() string {
	parts := make([]string, 0, len(t.positions))
	for _, p := range t.positions {
		term := strconv.FormatUint(uint64(p.Position.Term), 10)
		offset := strconv.FormatUint(p.Position.Offset, 10)
		parts = append(parts, p.Database+":"+term+":"+offset)
	}
	return strings.Join(parts, ",")
}

func mac(caller, text string, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	_, _ = h.Write([]byte(caller + "\x00" + text))
	return h.Sum(nil)[:macBytes]
}

// Decode parses the text of a token and returns ErrForged unless it was issued to the caller under one of the keys.
func Decode(text, caller string, keys [][]byte) (Token, error) {
	if len(text) > tokenBytesMaximum {
		return Token{}, ErrForged
	}
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Token{}, ErrForged
	}
	tag, err := hex.DecodeString(text[dot+1:])
	if err != nil || hex.EncodeToString(tag) != text[dot+1:] || !verifyMAC(caller, text[:dot], tag, keys) {
		return Token{}, ErrForged
	}
	return parsePositions(text[:dot])
}

func verifyMAC(caller, text string, tag []byte, keys [][]byte) bool {
	for _, key := range keys {
		if hmac.Equal(tag, mac(caller, text, key)) {
			return true
		}
	}
	return false
}

func parsePositions(text string) (Token, error) {
	var t Token
	if text == "" {
		return t, nil
	}
	for part := range strings.SplitSeq(text, ",") {
		p, err := parsePosition(part)
		if err != nil {
			return Token{}, err
		}
		t = t.With(p.Database, p.Position)
	}
	return t, nil
}

func parsePosition(part string) (DatabasePosition, error) {
	fields := strings.Split(part, ":")
	if len(fields) != 3 {
		return DatabasePosition{}, errors.New("token has a malformed position")
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
