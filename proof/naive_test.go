package proof

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskincove/load"
	"siskincove/standin/cluster"
)

// straight connects to a member of the group without the system between.
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

// TestNaive does without the system what it does, and shows that each promise is then broken; the same steps through
// the system keep it.
func TestDirectConnections(t *testing.T) {
	managed := func(o *cluster.Options) { o.Groups[0].Vendor = "managed" }
	insert := "INSERT INTO signoffs (key, value) VALUES ('k', 'v')"
	t.Run("own write read at a replica", func(t *testing.T) {
		c := startCluster(t, managed, cluster.Objects{})
		setLag(t, c, "applylag", "1m")
		execute(t, connectDirectly(t, c, 0), insert)
		if n := countRows(t, connectDirectly(t, c, 1), "k"); n != 0 {
			t.Errorf("the naive read sees %d rows, so the test shows nothing", n)
		}
		if n := countRows(t, connect(t, c, 1, ""), "k"); n != 1 {
			t.Errorf("through the system %d rows are seen", n)
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
			t.Errorf("the write that only its primary acknowledged is seen %d times, so the test shows nothing", n)
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
			t.Error("the group is not whole again")
		}
		if n := countRows(t, connect(t, c, 1, ""), "k"); n != 0 {
			t.Errorf("a write that a primary without its group acknowledged by itself is seen %d times, so the test shows nothing", n)
		}
	})
}
