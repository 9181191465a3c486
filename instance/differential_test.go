package instance

import (
	"context"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"pgregory.net/rapid"

	"siskincove/clock"
	"siskincove/config"
	"siskincove/event"
	"siskincove/platform/rows"
	"siskincove/settings"
	"siskincove/standin/group"
	"siskincove/standin/hosting"
	"siskincove/verifier"
)

const (
	instanceCount = 2
	password      = "secret"
)

// deployment is a group of stand-in endpoints with two instances in front of it, all in this process.
type deployment struct {
	group           *group.Group
	callerAddresses []string
}

func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// testObjects returns a configuration for a group with endpoints at the given addresses.
func testObjects(t testing.TB, addresses []string) config.Set {
	salted, err := verifier.WithSalt(password, []byte("0123456789abcdef"))
	if err != nil {
		t.Fatal(err)
	}
	set := config.Set{
		Services:  []config.Service{{Name: "s", Route: "main"}},
		Databases: []config.Database{{Name: "d", Vendor: "managed"}},
		Routes:    []config.Route{{Name: "main", Service: "s", Database: "d", Reads: config.ReadsReplica}},
		Limits:    []config.Limit{{Name: "l", Slots: 8, Connections: 60}},
		Callers:   []config.Caller{{Name: "anna", Services: []string{"s"}, Verifier: salted}},
	}
	for n, address := range addresses {
		set.Endpoints = append(set.Endpoints, config.Endpoint{
			Name: fmt.Sprintf("e%d", n), Database: "d", Address: address, Domain: "r/a", Limit: "l",
		})
	}
	return set
}

// startInstance starts an instance and returns its address for callers. If another process takes a free address before the instance
// does, it tries others.
func startInstance(ctx context.Context, t *testing.T, n int, platformStore Store) (*Instance, string) {
	s := settings.Default()
	s.Instance = settings.Instance{ID: fmt.Sprintf("i%d", n), Domain: "r/a"}
	s.Token = settings.Token{Keys: []string{"a key for the differential test"}}
	for {
		s.Listen = settings.Listen{Callers: freeAddress(t), Peers: freeAddress(t), Health: freeAddress(t)}
		i, err := New(ctx, s, clock.System{}, event.Discard(), platformStore)
		if err == nil {
			return i, s.Listen.Callers
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			t.Fatal(err)
		}
	}
}

// startDeployment starts a deployment and waits until it accepts a write.
func startDeployment(t *testing.T) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	g, err := group.New(ctx, clock.System{}, group.Options{
		Vendor: "managed", Addresses: []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}, Slots: 8, Connections: 200,
	})
	if err != nil {
		t.Fatal(err)
	}
	server, err := hosting.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	platformStore := rows.New(server.Address())
	set := testObjects(t, g.Addresses())
	if _, err := config.Publish(ctx, platformStore, platformStore, config.Publication{Set: set, Operation: "first"}); err != nil {
		t.Fatal(err)
	}
	d := &deployment{group: g}
	var instances []*Instance
	for n := range instanceCount {
		i, address := startInstance(ctx, t, n, platformStore)
		instances = append(instances, i)
		d.callerAddresses = append(d.callerAddresses, address)
	}
	t.Cleanup(func() {
		for _, i := range instances {
			i.Close()
		}
		cancel()
		<-g.Done()
		server.Close()
	})
	d.awaitWrite(t)
	return d
}

func (d *deployment) connect(instance int) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgx.Connect(ctx, "postgres://anna:"+password+"@"+d.callerAddresses[instance]+"/s?sslmode=disable")
}

func (d *deployment) awaitWrite(t *testing.T) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		conn, err := d.connect(0)
		if err == nil {
			_, err = conn.Exec(context.Background(), "INSERT INTO t (key, value) VALUES ('first', 'x')")
			_ = conn.Close(context.Background())
		}
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("deployment did not accept a write within 20 s")
}

// referenceStore is a model of the database: a single store used by one caller at a time.
type referenceStore struct {
	rows map[string][]string
}

// testSession is a session and the rows that it must at least see.
type testSession struct {
	conn     *pgx.Conn
	instance int
	// seen is the number of rows of each key that the session has written or that existed when it was opened.
	seen map[string]int
}

// TestDifferential guards against stale or reordered reads. It runs generated schedules of sessions that write, roll back,
// reconnect at another instance and read, and compares the reads with a reference store: a read must return a prefix of
// the reference's rows, with at least those that the session wrote or that existed when it was opened.
func TestDifferential(t *testing.T) {
	d := startDeployment(t)
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		for _, m := range d.group.Members() {
			lag := time.Duration(rapid.IntRange(0, 3).Draw(t, "lag")) * 20 * time.Millisecond
			m.SetFaults(func(f group.Faults) group.Faults {
				f.ApplyLag = lag
				return f
			})
		}
		reference := referenceStore{rows: map[string][]string{}}
		sessions := make([]*testSession, 3)
		defer func() {
			for _, s := range sessions {
				if s != nil {
					_ = s.conn.Close(context.Background())
				}
			}
		}()
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			n := rapid.IntRange(0, len(sessions)-1).Draw(t, "session")
			key := fmt.Sprintf("k%d-%d", run, rapid.IntRange(0, 1).Draw(t, "key"))
			if sessions[n] == nil {
				sessions[n] = d.openSession(t, rapid.IntRange(0, instanceCount-1).Draw(t, "instance"), &reference)
			}
			s := sessions[n]
			value := fmt.Sprintf("v%d", step)
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				s.write(t, &reference, key, value)
			case 2:
				s.runTransaction(t, &reference, key, value, rapid.Bool().Draw(t, "commits"))
			case 3:
				_ = s.conn.Close(context.Background())
				sessions[n] = nil
			default:
				s.read(t, &reference, key)
			}
		}
	})
}

func (d *deployment) openSession(t *rapid.T, instance int, reference *referenceStore) *testSession {
	conn, err := d.connect(instance)
	if err != nil {
		t.Fatal(err)
	}
	s := &testSession{conn: conn, instance: instance, seen: map[string]int{}}
	for key, rows := range reference.rows {
		s.seen[key] = len(rows)
	}
	return s
}

func (s *testSession) write(t *rapid.T, reference *referenceStore, key, value string) {
	if _, err := s.conn.Exec(context.Background(), "INSERT INTO t (key, value) VALUES ($1, $2)", key, value); err != nil {
		t.Fatal(err)
	}
	reference.rows[key] = append(reference.rows[key], value)
	s.seen[key] = len(reference.rows[key])
}

func (s *testSession) runTransaction(t *rapid.T, reference *referenceStore, key, value string, commits bool) {
	ctx := context.Background()
	tx, err := s.conn.Begin(ctx)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{value + "a", value + "b"} {
		if _, err := tx.Exec(ctx, "INSERT INTO t (key, value) VALUES ($1, $2)", key, part); err != nil {
			t.Fatal(err)
		}
	}
	if !commits {
		if err := tx.Rollback(ctx); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err := tx.Commit(ctx); err != nil {
		t.Fatal(err)
	}
	reference.rows[key] = append(reference.rows[key], value+"a", value+"b")
	s.seen[key] = len(reference.rows[key])
}

func (s *testSession) read(t *rapid.T, reference *referenceStore, key string) {
	result, err := s.conn.Query(context.Background(), "SELECT value FROM t WHERE key = $1", key)
	if err != nil {
		t.Fatal(err)
	}
	got, err := pgx.CollectRows(result, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	all := reference.rows[key]
	if len(got) < s.seen[key] || len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
		t.Fatalf("session at instance %d read %v of %v, must see the first %d", s.instance, got, all, s.seen[key])
	}
}
