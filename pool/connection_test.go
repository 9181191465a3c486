package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"siskincove/endpoint/managed"
)

// stalledConn delays the return of its first write, as happens when a machine is short of CPU time.
type stalledConn struct {
	net.Conn
	written bool
}

// writeStall exceeds the 15 ms after which pgconn starts a background read.
const writeStall = 50 * time.Millisecond

func (s *stalledConn) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if !s.written {
		s.written = true
		time.Sleep(writeStall)
	}
	return n, err
}

// TestStalledStart guards against a lost first response: if the first write of the startup stalls, pgconn starts a
// background read, which must not consume responses to the pool's own statements.
func TestStalledStart(t *testing.T) {
	b := newTestbed(t, "managed")
	d, err := newDialer(Options{Endpoint: b.members[0], Vendor: managed.Vendor{}})
	if err != nil {
		t.Fatal(err)
	}
	d.config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return &stalledConn{Conn: conn}, err
	}
	c, err := d.dialWorking(context.Background(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	if err := c.conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := (&Pool{}).execSimple(c, "SELECT value FROM t WHERE key = 'first'"); err != nil {
		t.Errorf("no response to the first statement: %v", err)
	}
}
