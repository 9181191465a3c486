package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskincove/peer/wire"
)

const (
	lengthBytes = 4
	// maxFrameBytes exceeds the largest message that a caller may send.
	maxFrameBytes = 20 << 20
)

// appendFrame appends an encoded frame with its length in front.
func appendFrame(buffer []byte, frame *wire.Frame) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0)
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, frame)
	if err != nil {
		return buffer, errors.Wrap(err, "encoding frame")
	}
	size := len(buffer) - start - lengthBytes
	if size > maxFrameBytes {
		return buffer, errors.Newf("frame of %d bytes exceeds %d", size, maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// readFrame reads one frame and returns it with its encoded size. The error is io.EOF if the stream ended before it.
func readFrame(r *bufio.Reader) (*wire.Frame, int, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrameBytes {
		return nil, 0, errors.Newf("frame of %d bytes exceeds %d", size, maxFrameBytes)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, 0, err
	}
	frame := &wire.Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, 0, errors.Wrap(err, "decoding frame")
	}
	return frame, lengthBytes + int(size), nil
}
