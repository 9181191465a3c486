package message

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// HeaderBytes is the size of a message's type and length.
const HeaderBytes = 5

// ErrMalformed is returned for bytes that are not a message.
var ErrMalformed = errors.New("malformed message")

// Raw is one whole message: type, length and body.
type Raw []byte

// Type returns the message's first byte.
func (r Raw) Type() Type { return Type(r[0]) }

// Body returns what follows the header.
func (r Raw) Body() []byte { return r[HeaderBytes:] }

// New returns a message of the type with the body.
func New(t Type, body []byte) Raw {
	out := make(Raw, 0, HeaderBytes+len(body))
	out = append(out, byte(t), 0, 0, 0, 0)
	binary.BigEndian.PutUint32(out[1:], uint32(len(body)+4))
	return append(out, body...)
}

// Length returns the whole size of the message that starts with the header, or ErrMalformed.
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

// Next cuts the first message off bytes that hold whole messages.
func Next(payload []byte) (Raw, []byte, error) {
	size, err := Length(payload)
	if err != nil || size > len(payload) {
		return nil, nil, ErrMalformed
	}
	return Raw(payload[:size]), payload[size:], nil
}

// Text returns the zero-terminated string at the start of body and the rest.
func CString(body []byte) (string, []byte, error) {
	end := bytes.IndexByte(body, 0)
	if end < 0 {
		return "", nil, ErrMalformed
	}
	return string(body[:end]), body[end+1:], nil
}

func appendText(out []byte, text string) []byte {
	return append(append(out, text...), 0)
}
