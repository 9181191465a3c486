package transfer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
)

// Compressor compresses pieces with DEFLATE. It must not be used by two goroutines at once.
type Compressor struct {
	writer *flate.Writer
	buffer bytes.Buffer
}

// Compress returns the compressed data.
func (c *Compressor) Compress(data []byte) ([]byte, error) {
	c.buffer.Reset()
	if c.writer == nil {
		var err error
		if c.writer, err = flate.NewWriter(&c.buffer, flate.BestSpeed); err != nil {
			return nil, errors.Wrap(err, "compressing")
		}
	} else {
		c.writer.Reset(&c.buffer)
	}
	if _, err := c.writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compressing")
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing")
	}
	return bytes.Clone(c.buffer.Bytes()), nil
}

// Expand returns the data of a compressed piece, or an error if that is damaged or larger than a piece may be.
func Expand(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(reader, MaxPieceBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "expanding piece")
	}
	if len(data) > MaxPieceBytes {
		return nil, errors.Newf("piece exceeds %d bytes", MaxPieceBytes)
	}
	return data, nil
}
