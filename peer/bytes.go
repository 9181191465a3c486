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

// joined counts a connection between instances and joins the parts of its frames.
func joined(conn net.Conn) net.Conn {
	return &coalescer{Conn: meter.Conn{Conn: conn, In: bytesIn, Out: bytesOut}}
}
