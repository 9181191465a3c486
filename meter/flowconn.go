package meter

import "net"

// FlowConn is a net.Conn whose bytes in both directions are counted as one Flow.
type FlowConn struct {
	net.Conn
	Traffic *Traffic
	Flow    Flow
}

// Read reads from the connection and counts the bytes.
func (c FlowConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Traffic.Add(c.Flow, 0, n)
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c FlowConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.Traffic.Add(c.Flow, 0, n)
	return n, err
}
