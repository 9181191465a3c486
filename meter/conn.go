package meter

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

// Conn is a net.Conn that counts the bytes read in In and the bytes written in Out. Both may be the same counter.
type Conn struct {
	net.Conn
	In  *metrics.Counter
	Out *metrics.Counter
}

// Read reads from the connection and counts the bytes.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.In.Add(n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Out.Add(n)
	return n, err
}
