package pool

import (
	"context"
	"net"
	"testing"
	"time"

	"siskincove/endpoint/managed"
)

// stalled is a connection whose first write returns late, as on a machine that is short of processor time.
type stalled struct {
	net.Conn
	written bool
}

// writeStall is above the 15 ms after which pgconn begins to read in the background.
const writeStall = 50 * time.Millisecond

func (s *stalled) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	if !s.written {
		s.written = true
		time.Sleep(writeStall)
	}
	return n, err
}

// TestStalledStart opens a connection whose first write stalls: what the library began to read in the background takes
// none of the answers to the pool's own statements.
func TestStalledStart(t *testing.T) {
	b := begin(t, "managed")
	d, err := newDialer(Options{Endpoint: b.members[0], Vendor: managed.Vendor{}})
	if err != nil {
		t.Fatal(err)
	}
	d.config.DialFunc = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, address)
		return &stalled{Conn: conn}, err
	}
	c, err := d.working(context.Background(), false)
	if err != nil {
		t.Fatal(err)
	}
	defer c.close()
	if err := c.conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := (&Pool{}).plain(c, "SELECT value FROM t WHERE key = 'first'"); err != nil {
		t.Errorf("no answer to the first statement: %v", err)
	}
}
