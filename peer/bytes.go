package peer

import (
	"net"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/meter"
)

var (
	bytesIn  = metrics.NewCounter(`siskincove_peer_bytes_total{direction="in"}`)
	bytesOut = metrics.NewCounter(`siskincove_peer_bytes_total{direction="out"}`)
)

// wrapConn counts the bytes of a connection between instances and merges the writes of yamux frames.
func wrapConn(conn net.Conn) net.Conn {
	return &coalescer{Conn: meter.Conn{Conn: conn, In: bytesIn, Out: bytesOut}}
}
