package message

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

const readerBytes = 16 << 10

// Reader reads whole messages from a connection.
type Reader struct {
	buffered *bufio.Reader
	most     int
}

// NewReader returns a reader that refuses messages of more than most bytes.
func NewReader(r io.Reader, most int) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, readerBytes), most: most}
}

// ErrOversized is returned for a message beyond the reader's bound.
var ErrOversized = errors.New("oversized message")

// Append reads one message onto the end of out and returns the whole and the message's part of it.
func (r *Reader) Append(out []byte) ([]byte, Raw, error) {
	header, err := r.buffered.Peek(HeaderBytes)
	if err != nil {
		return out, nil, err
	}
	size, err := Length(header)
	if err != nil {
		return out, nil, err
	}
	if size > r.most {
		return out, nil, ErrOversized
	}
	start := len(out)
	out = grow(out, size)
	if _, err := io.ReadFull(r.buffered, out[start:]); err != nil {
		return out[:start], nil, err
	}
	return out, Raw(out[start:]), nil
}

// Wait returns once a byte can be read, and consumes nothing.
func (r *Reader) Wait() error {
	_, err := r.buffered.Peek(1)
	return err
}

// Buffered returns how many bytes can be read without waiting.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// Read reads bytes that are not framed as messages.
func (r *Reader) Read(p []byte) (int, error) { return r.buffered.Read(p) }

func grow(out []byte, n int) []byte {
	if need := len(out) + n; need <= cap(out) {
		return out[:need]
	}
	next := make([]byte, len(out)+n, 2*(len(out)+n))
	copy(next, out)
	return next
}
