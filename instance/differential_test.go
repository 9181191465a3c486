package instance

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

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
	sites    = 2
	password = "secret"
)

// system is two instances before one group, all in this process.
type system struct {
	group   *group.Group
	callers []string
}

func freeAddress(t testing.TB) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// declared returns the objects for a group's endpoints.
func declared(t testing.TB, addresses []string) config.Set {
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

// begin starts the system and waits until it accepts a write.
func begin(t *testing.T) *system {
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
	kept := rows.New(server.Address())
	set := declared(t, g.Addresses())
	if _, err := config.Publish(ctx, kept, kept, config.Publication{Set: set, Operation: "first"}); err != nil {
		t.Fatal(err)
	}
	s := &system{group: g}
	var all []*Instance
	for n := range sites {
		o := settings.Default()
		o.Instance = settings.Instance{ID: fmt.Sprintf("i%d", n), Domain: "r/a"}
		o.Listen = settings.Listen{Callers: freeAddress(t), Peers: freeAddress(t), Health: freeAddress(t)}
		o.Token = settings.Token{Keys: []string{"a key for the differential test"}}
		i, err := New(ctx, o, clock.System{}, event.Discard(), kept)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, i)
		s.callers = append(s.callers, o.Listen.Callers)
	}
	t.Cleanup(func() {
		for _, i := range all {
			i.Close()
		}
		cancel()
		<-g.Done()
		server.Close()
	})
	s.awaitWrite(t)
	return s
}

func (s *system) connect(at int) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return pgx.Connect(ctx, "postgres://anna:"+password+"@"+s.callers[at]+"/s?sslmode=disable")
}

func (s *system) awaitWrite(t *testing.T) {
	limit := time.Now().Add(20 * time.Second)
	for time.Now().Before(limit) {
		conn, err := s.connect(0)
		if err == nil {
			_, err = conn.Exec(context.Background(), "INSERT INTO t (key, value) VALUES ('first', 'x')")
			_ = conn.Close(context.Background())
		}
		if err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the system accepts no write")
}

// naive is one store that one caller at a time uses.
type naive struct {
	rows map[string][]string
}

// user is a session under test with what it must see.
type user struct {
	conn *pgx.Conn
	at   int
	// seen counts the rows of each key that the session has written or was shown when it arrived.
	seen map[string]int
}

// TestDifferential runs generated schedules of sessions that write, roll back, roam and read through the system and
// through a naive store: an arriving session sees all, a session sees at least what it wrote, in the same order.
func TestDifferential(t *testing.T) {
	s := begin(t)
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		for _, m := range s.group.Members() {
			lag := time.Duration(rapid.IntRange(0, 3).Draw(t, "lag")) * 20 * time.Millisecond
			m.SetFaults(func(f group.Faults) group.Faults {
				f.ApplyLag = lag
				return f
			})
		}
		store := naive{rows: map[string][]string{}}
		users := make([]*user, 3)
		defer func() {
			for _, u := range users {
				if u != nil {
					_ = u.conn.Close(context.Background())
				}
			}
		}()
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			n := rapid.IntRange(0, len(users)-1).Draw(t, "user")
			key := fmt.Sprintf("k%d-%d", run, rapid.IntRange(0, 1).Draw(t, "key"))
			if users[n] == nil {
				users[n] = s.arrive(t, rapid.IntRange(0, sites-1).Draw(t, "site"), &store)
			}
			u := users[n]
			value := fmt.Sprintf("v%d", step)
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				u.write(t, &store, key, value)
			case 2:
				u.transact(t, &store, key, value, rapid.Bool().Draw(t, "commits"))
			case 3:
				_ = u.conn.Close(context.Background())
				users[n] = nil
			default:
				u.read(t, &store, key)
			}
		}
	})
}

func (s *system) arrive(t *rapid.T, at int, store *naive) *user {
	conn, err := s.connect(at)
	if err != nil {
		t.Fatal(err)
	}
	u := &user{conn: conn, at: at, seen: map[string]int{}}
	for key, rows := range store.rows {
		u.seen[key] = len(rows)
	}
	return u
}

func (u *user) write(t *rapid.T, store *naive, key, value string) {
	if _, err := u.conn.Exec(context.Background(), "INSERT INTO t (key, value) VALUES ($1, $2)", key, value); err != nil {
		t.Fatal(err)
	}
	store.rows[key] = append(store.rows[key], value)
	u.seen[key] = len(store.rows[key])
}

func (u *user) transact(t *rapid.T, store *naive, key, value string, commits bool) {
	ctx := context.Background()
	tx, err := u.conn.Begin(ctx)
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
	store.rows[key] = append(store.rows[key], value+"a", value+"b")
	u.seen[key] = len(store.rows[key])
}

func (u *user) read(t *rapid.T, store *naive, key string) {
	found, err := u.conn.Query(context.Background(), "SELECT value FROM t WHERE key = $1", key)
	if err != nil {
		t.Fatal(err)
	}
	got, err := pgx.CollectRows(found, pgx.RowTo[string])
	if err != nil {
		t.Fatal(err)
	}
	all := store.rows[key]
	if len(got) < u.seen[key] || len(got) > len(all) || !slices.Equal(got, all[:len(got)]) {
		t.Fatalf("session at %d reads %v of %v, must see %d", u.at, got, all, u.seen[key])
	}
}
