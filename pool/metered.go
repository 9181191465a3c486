package pool

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

var (
	probeBytes = metrics.NewCounter(`siskincove_probe_bytes_total`)
	questions  = metrics.NewCounter(`siskincove_status_questions_total`)
)

// metered counts the bytes of a reserved connection.
type metered struct {
	net.Conn
}

// Read reads and counts.
func (m metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	probeBytes.Add(n)
	return n, err
}

// Write writes and counts.
func (m metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	probeBytes.Add(n)
	return n, err
}

func dialMetered(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return metered{conn}, nil
}
