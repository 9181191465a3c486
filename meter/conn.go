package meter

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Conn is a connection that adds the bytes read to In and the bytes written to Out, which may be one counter.
type Conn struct {
	net.Conn
	In  *metrics.Counter
	Out *metrics.Counter
}

// Read reads and counts.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.In.Add(n)
	return n, err
}

// Write writes and counts.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Out.Add(n)
	return n, err
}
