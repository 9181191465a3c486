package message

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// HeaderBytes is the size in bytes of a message header: the type and the length.
const HeaderBytes = 5

// ErrMalformed is returned for bytes that do not form a valid message.
var ErrMalformed = errors.New("malformed message")

// Raw is one complete encoded message: type, length and body.
type Raw []byte

// Type returns the message type, its first byte.
func (r Raw) Type() Type { return Type(r[0]) }

// Body returns the bytes after the header.
func (r Raw) Body() []byte { return r[HeaderBytes:] }

// New encodes a message of type t.
func New(t Type, body []byte) Raw {
	out := make(Raw, 0, HeaderBytes+len(body))
	out = append(out, byte(t), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(out[1:], uint32(len(body)+4))
	return append(out, body...)
}

// Length returns the total size in bytes of the message that begins with header, including the header itself. It
// returns ErrMalformed if the header is short or its length field is out of range.
func Length(header []byte) (int, error) {
	if len(header) < HeaderBytes {
		return 0, ErrMalformed
	}
	size := binary.BigEndian.Uint32(header[1:HeaderBytes])
	if size < 4 || size > 1<<30 {
		return 0, ErrMalformed
	}
	return int(size) + 1, nil
}

// Next splits payload, which holds complete messages, into its first message and the remaining bytes.
func Next(payload []byte) (Raw, []byte, error) {
	size, err := Length(payload)
	if err != nil || size > len(payload) {
		return nil, nil, ErrMalformed
	}
	return Raw(payload[:size]), payload[size:], nil
}

// CString returns the zero-terminated string at the start of body and the remaining bytes.
func CString(body []byte) (string, []byte, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", nil, ErrMalformed
	}
	return string(body[:end]), body[end+1:], nil
}

func appendCString(out []byte, text string) []byte {
	return append(append(out, text...), 0)
}
