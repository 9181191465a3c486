package message

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

const readBufferBytes = 16 << 10

// Reader reads complete messages from a connection.
type Reader struct {
	buffered *bufio.Reader
	maxBytes int
}

// NewReader returns a reader that rejects messages larger than maxBytes, header included.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(r, readBufferBytes), maxBytes: maxBytes}
}

// ErrOversized is returned for a message larger than the reader's maximum.
var ErrOversized = errors.New("oversized message")

// Append reads one message and appends it to out. It returns the extended slice and the message, which is a part of it.
func (r *Reader) Append(out []byte) ([]byte, Raw, error) {
	header, err := r.buffered.Peek(HeaderBytes)
	if err != nil {
		return out, nil, err
	}
	size, err := Length(header)
	if err != nil {
		return out, nil, err
	}
	if size > r.maxBytes {
		return out, nil, ErrOversized
	}
	start := len(out)
	out = grow(out, size)
	if _, err := io.ReadFull(r.buffered, out[start:]); err != nil {
		return out[:start], nil, err
	}
	return out, Raw(out[start:]), nil
}

// Wait blocks until at least one byte can be read, without consuming it.
func (r *Reader) Wait() error {
	_, err := r.buffered.Peek(1)
	return err
}

// Buffered returns the number of bytes that can be read without blocking.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// Read reads bytes that are not framed as typed messages, such as the startup message.
func (r *Reader) Read(p []byte) (int, error) { return r.buffered.Read(p) }

// grow extends out by n bytes. It doubles the needed capacity when it reallocates, so that collecting many messages
// copies each byte only a few times.
func grow(out []byte, n int) []byte {
	if need := len(out) + n; need <= cap(out) {
		return out[:need]
	}
	next := make([]byte, len(out)+n, 2*(len(out)+n))
	copy(next, out)
	return next
}
