package peer

import "net"

// Layout of a yamux frame header.
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// coalescer merges the header of a yamux data frame with the body, which yamux writes right after it, so that a frame takes
// one system call.
type coalescer struct {
	net.Conn
	header []byte
}

// Write holds back the header of a data frame that has a body until the body is written, and passes on everything else.
func (c *coalescer) Write(p []byte) (int, error) {
	if len(c.header) == 0 && isDataHeader(p) {
		c.header = append(c.header, p...)
		return len(p), nil
	}
	if len(c.header) == 0 {
		return c.Conn.Write(p)
	}
	c.header = append(c.header, p...)
	_, err := c.Conn.Write(c.header)
	c.header = c.header[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// isDataHeader reports whether p is the header of a data frame with a nonempty body.
func isDataHeader(p []byte) bool {
	if len(p) != muxHeaderSize || p[muxTypeOffset] != muxTypeData {
		return false
	}
	for _, b := range p[muxLengthOffset:] {
		if b != 0 {
			return true
		}
	}
	return false
}
