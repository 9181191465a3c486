package peer

import "net"

const (
	muxHeaderBytes = 12
	muxTypeByte    = 1
	muxTypeData    = 0
	muxLengthByte  = 8
)

// coalescer joins the header of a yamux data frame with the body that the session writes right after it, so that a
// frame costs one system call.
type coalescer struct {
	net.Conn
	buffer []byte
}

// Write keeps the header of a data frame that has a body, and writes everything else.
func (c *coalescer) Write(p []byte) (int, error) {
	if len(c.buffer) == 0 && hasBody(p) {
		c.buffer = append(c.buffer, p...)
		return len(p), nil
	}
	if len(c.buffer) == 0 {
		return c.Conn.Write(p)
	}
	c.buffer = append(c.buffer, p...)
	_, err := c.Conn.Write(c.buffer)
	c.buffer = c.buffer[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

func hasBody(p []byte) bool {
	if len(p) != muxHeaderBytes || p[muxTypeByte] != muxTypeData {
		return false
	}
	for _, b := range p[muxLengthByte:] {
		if b != 0 {
			return true
		}
	}
	return false
}
