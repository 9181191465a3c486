package pool

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"siskincove/meter"
)

var (
	probeBytes    = metrics.NewCounter(`siskincove_probe_bytes_total`)
	statusQueries = metrics.NewCounter(`siskincove_status_questions_total`)
)

// dialMetered opens a reserved connection and counts its bytes in probeBytes.
func dialMetered(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return meter.Conn{Conn: conn, In: probeBytes, Out: probeBytes}, nil
}
