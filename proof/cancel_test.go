package proof

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// cancelAt sends the cancel request of a connection to another address, as happens behind a load balancer.
func cancelAt(t *testing.T, conn *pgx.Conn, address string) {
	t.Helper()
	// A cancel request has a length of 16 bytes and the request code 80877102.
	request := binary.BigEndian.AppendUint32(nil, 16)
	request = binary.BigEndian.AppendUint32(request, 80877102)
	request = binary.BigEndian.AppendUint32(request, conn.PgConn().PID())
	request = append(request, conn.PgConn().SecretKey()...)
	balancerConn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = balancerConn.Close() }()
	if _, err := balancerConn.Write(request); err != nil {
		t.Fatal(err)
	}
	_ = balancerConn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, balancerConn)
}
