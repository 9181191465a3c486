package proof

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskincove/load"
	"siskincove/standin/cluster"
)

// connectDirectly connects to a member of the group, not through the proxy.
func connectDirectly(t *testing.T, c *cluster.Cluster, member int) *pgx.Conn {
	t.Helper()
	conn, err := pgx.Connect(boundedContext(t), load.URL(c.Groups[0].Endpoints[member], "u", "", database))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func execute(t *testing.T, conn *pgx.Conn, sql string) {
	t.Helper()
	if _, err := conn.Exec(boundedContext(t), sql); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func countRows(t *testing.T, conn *pgx.Conn, key string) int {
	t.Helper()
	var n int
	if err := conn.QueryRow(boundedContext(t), "SELECT count(*) FROM signoffs WHERE key = '"+key+"'").Scan(&n); err != nil {
		t.Fatal(err)
	}
	return n
}

func setLag(t *testing.T, c *cluster.Cluster, name, lag string) {
	t.Helper()
	for m := range c.Groups[0].Endpoints {
		if err := c.Groups[0].Fault(m, name, lag); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDirectConnections checks that direct connections to the endpoints break the guarantees under faults that other tests
// inject too, so that those tests would fail on direct connections. A read through the proxy shows what was lost, and in the
// first case that the proxy keeps the guarantee under the same fault.
func TestDirectConnections(t *testing.T) {
	managed := func(o *cluster.Options) { o.Groups[0].Vendor = "managed" }
	insert := "INSERT INTO signoffs (key, value) VALUES ('k', 'v')"
	t.Run("read of own write at a replica", func(t *testing.T) {
		c := startCluster(t, managed, cluster.Objects{})
		setLag(t, c, "applylag", "1m")
		execute(t, connectDirectly(t, c, 0), insert)
		if n := countRows(t, connectDirectly(t, c, 1), "k"); n != 0 {
			t.Errorf("direct read at the replica returned %d rows, so the case does not show a stale read", n)
		}
		if n := countRows(t, connect(t, c, 1, ""), "k"); n != 1 {
			t.Errorf("read through the proxy returned %d rows", n)
		}
	})
	t.Run("acknowledged write after a change of primary", func(t *testing.T) {
		c := startCluster(t, managed, cluster.Objects{})
		setLag(t, c, "receivelag", "1m")
		execute(t, connectDirectly(t, c, 0), insert)
		if err := c.Groups[0].Fault(0, "killed", "true"); err != nil {
			t.Fatal(err)
		}
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Fatal("no other endpoint became primary")
		}
		setLag(t, c, "receivelag", "0s")
		if n := countRows(t, connect(t, c, 1, ""), "k"); n != 0 {
			t.Errorf("write that no replica received was read %d times, so the case does not show a lost write", n)
		}
	})
	t.Run("write at a primary that is cut off", func(t *testing.T) {
		c := startCluster(t, managed, cluster.Objects{Deadline: 2 * time.Second})
		if err := c.Groups[0].Fault(0, "cutpeers", "true"); err != nil {
			t.Fatal(err)
		}
		execute(t, connectDirectly(t, c, 0), insert)
		if !eventually(func() bool { return primaryChanged(c, 0) }) {
			t.Fatal("no other endpoint became primary")
		}
		if err := c.Groups[0].Fault(0, "cutpeers", "false"); err != nil {
			t.Fatal(err)
		}
		if !eventually(func() bool { return converged(c) }) {
			t.Error("the group did not converge")
		}
		if n := countRows(t, connect(t, c, 1, ""), "k"); n != 0 {
			t.Errorf("write acknowledged by an isolated primary was read %d times, so the case does not show a lost write", n)
		}
	})
}
