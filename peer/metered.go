package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	bytesIn  = metrics.NewCounter(`siskincove_peer_bytes_total{direction="in"}`)
	bytesOut = metrics.NewCounter(`siskincove_peer_bytes_total{direction="out"}`)
)

// metered counts the bytes of a connection between instances.
type metered struct {
	net.Conn
}

// Read reads and counts.
func (m metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	bytesIn.Add(n)
	return n, err
}

// Write writes and counts.
func (m metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	bytesOut.Add(n)
	return n, err
}
