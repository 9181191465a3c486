package group_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgconn"

	"siskincove/clock"
	"siskincove/endpoint"
	"siskincove/endpoint/managed"
	"siskincove/endpoint/postgres"
	"siskincove/standin/group"
)

var vendors = map[string]endpoint.Vendor{"postgres": postgres.Vendor{}, "managed": managed.Vendor{}}

// querier runs a vendor's statements on a plain connection.
type querier struct{ conn *pgconn.PgConn }

func (q querier) Query(ctx context.Context, sql string) ([]endpoint.Row, error) {
	results, err := q.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var out []endpoint.Row
	for _, result := range results {
		for _, values := range result.Rows {
			row := endpoint.Row{}
			for _, value := range values {
				row = append(row, string(value))
			}
			out = append(out, row)
		}
	}
	return out, nil
}

// startGroup starts a group and returns a connection to each member.
func startGroup(t *testing.T, vendor string) (context.Context, *group.Group, []querier) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	g, err := group.New(ctx, clock.System{}, group.Options{
		Vendor: vendor, Addresses: []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}, Slots: 2, Connections: 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-g.Done()
	})
	var out []querier
	for _, address := range g.Addresses() {
		conn, err := pgconn.Connect(ctx, "postgres://u@"+address+"/d?sslmode=disable")
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, querier{conn})
	}
	return ctx, g, out
}

// awaitStatus queries the status of a member until accept returns true.
func awaitStatus(t *testing.T, ctx context.Context, v endpoint.Vendor, q querier, accept func(endpoint.Status) bool) endpoint.Status {
	t.Helper()
	for {
		status, err := v.Status(ctx, q)
		if err != nil {
			t.Fatalf("%v, last %+v", err, status)
		}
		if accept(status) {
			return status
		}
	}
}

// TestVendorContract checks what failover relies on for every vendor: reports of position and role, and the refusal of
// commands under outdated terms.
func TestVendorContract(t *testing.T) {
	for name, v := range vendors {
		t.Run(name, func(t *testing.T) {
			ctx, g, q := startGroup(t, name)
			caughtUpWith := func(at int) func(endpoint.Status) bool {
				return func(s endpoint.Status) bool {
					return s.Receiving && s.Log == g.Members()[at].Status().Log && s.Applied == s.Log
				}
			}
			primary := awaitStatus(t, ctx, v, q[0], endpoint.Status.Leads)
			awaitStatus(t, ctx, v, q[1], caughtUpWith(0))
			if diff := cmp.Diff(v.Name(), name); diff != "" {
				t.Error(diff)
			}
			rows, err := q[0].Query(ctx, "INSERT INTO t (key, value) VALUES ('k', 'v')")
			if err != nil || len(rows) != 0 {
				t.Fatal(err)
			}
			rows, err = q[0].Query(ctx, v.PositionQuery())
			if err != nil {
				t.Fatal(err)
			}
			written, err := v.ParsePosition(rows[0])
			if err != nil || written.Compare(primary.Log) <= 0 || written.Term != primary.Log.Term {
				t.Errorf("position after the write %v, before it %v, error %v", written, primary.Log, err)
			}
			awaitStatus(t, ctx, v, q[1], func(s endpoint.Status) bool { return s.Log.Covers(written) })
			checkCommands(t, ctx, v, g, q, written)
		})
	}
}

// checkCommands checks fence, promote and follow, in order and out of order.
func checkCommands(t *testing.T, ctx context.Context, v endpoint.Vendor, g *group.Group, q []querier, written endpoint.Position) {
	if _, err := v.Promote(ctx, q[1], 5); err == nil {
		t.Error("promoted under a term that was not promised")
	}
	fenced, err := v.Fence(ctx, q[1], 5)
	if err != nil || fenced.Fenced != 5 || fenced.Role != endpoint.Stopped || fenced.Log != written {
		t.Errorf("fenced %+v, %v", fenced, err)
	}
	for _, term := range []endpoint.FencedTerm{4, 5} {
		if _, err := v.Fence(ctx, q[1], term); err == nil {
			t.Errorf("promised term %d after 5", term)
		}
	}
	if _, err := v.Follow(ctx, q[1], 4, g.Addresses()[0]); err == nil {
		t.Error("followed under a lower term than promised")
	}
	if _, err := q[0].Query(ctx, "INSERT INTO t (key, value) VALUES ('k', 'late')"); err != nil {
		t.Errorf("primary of the old term: %v", err)
	}
	if s, err := v.Status(ctx, q[1]); err != nil || s.Log != written {
		t.Errorf("a fenced member kept receiving: %+v, %v", s, err)
	}
	promoted, err := v.Promote(ctx, q[1], 5)
	if err != nil || !promoted.Leads() || promoted.Log.Term != 5 {
		t.Errorf("promoted %+v, %v", promoted, err)
	}
	again, err := v.Promote(ctx, q[1], 5)
	if err != nil || again.Log != promoted.Log {
		t.Errorf("promoted twice: %+v, %v", again, err)
	}
	for _, n := range []int{0, 2} {
		if _, err := v.Follow(ctx, q[n], 5, g.Addresses()[1]); err != nil {
			t.Error(err)
		}
		awaitStatus(t, ctx, v, q[n], func(s endpoint.Status) bool {
			return s.Receiving && s.Role == endpoint.Replica && s.Log == promoted.Log && s.Applied == s.Log
		})
	}
	if _, err := q[0].Query(ctx, "INSERT INTO t (key, value) VALUES ('k', 'x')"); err == nil {
		t.Error("the old primary accepts writes as a replica")
	}
	if rows, err := q[0].Query(ctx, "SELECT value FROM t WHERE key = 'k'"); err != nil || len(rows) != 1 {
		t.Errorf("the old primary keeps its unconfirmed write: %v, %v", rows, err)
	}
}
